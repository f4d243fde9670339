package loadbalancer.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.IdentityHashMap;
import java.util.Map;
import loadbalancer.operator.ConfigFormatter;
import loadbalancer.operator.OperatorConfig;
import loadbalancer.router.RequestRouter;
import loadbalancer.router.RouteConfig;
import loadbalancer.routes.Route;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Prints the routes of an operator file, the most specific first. */
@Command(name = "routes", description = "Prints the routes, the most specific first.", mixinStandardHelpOptions = true)
final class RoutesCommand extends OperatorFileCommand {
    private static final String ROW = "%-16s %-48s %s%n";

    @Parameters(paramLabel = "FILE")
    private Path file;

    @Override
    public Integer call() throws IOException {
        OperatorConfig operator = read(file);
        Map<Route, RouteConfig> configs = new IdentityHashMap<>();
        operator.routing().routes().forEach(config -> configs.put(config.route(), config));
        out().printf(ROW, "route", "takes", "to");
        for (Route route : new RequestRouter(operator.routing()).table().routes()) {
            out().printf(ROW, route.name(), ConfigFormatter.describe(route), destinations(configs.get(route)));
        }
        String unmatched = operator.routing().unmatchedPool();
        out().printf(ROW, "(others)", "", unmatched == null ? "refused" : unmatched);
        return EXIT_OK;
    }

    private static String destinations(RouteConfig route) {
        String spillTargets = ConfigFormatter.spillTargets(route);
        return ConfigFormatter.destinations(route) + (spillTargets.isEmpty() ? "" : "; spills to " + spillTargets);
    }
}
