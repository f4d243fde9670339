package loadbalancer.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import loadbalancer.operator.ConfigFormatter;
import loadbalancer.operator.OperatorConfig;
import loadbalancer.router.RequestRouter;
import loadbalancer.router.RouteConfig;
import loadbalancer.router.RoutingConfig;
import loadbalancer.routes.PathTemplate;
import loadbalancer.routes.Route;
import loadbalancer.routes.RouteExplanation;
import loadbalancer.routes.RouteRequest;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Explains how one request is routed and limited. */
@Command(
        name = "explain",
        description = "Shows the route, pool and limits of a request, and why the other routes do not take it.",
        mixinStandardHelpOptions = true,
        footer = {
            "",
            "Example:",
            "  load-balancer explain deploy/operator.toml"
                    + " --request \"POST /api/k1\" --header \"X-Channel: counter\" --tenant t1"
        })
final class ExplainCommand extends OperatorFileCommand {
    @Parameters(paramLabel = "FILE")
    private Path file;

    @Option(names = "--request", required = true, paramLabel = "\"METHOD /PATH\"")
    private String request;

    @Option(names = "--header", paramLabel = "\"NAME: VALUE\"")
    private List<String> headers = List.of();

    @Option(names = "--tenant")
    private String tenant;

    @Option(names = "--class", paramLabel = "CLASS")
    private String requestClass;

    @Option(names = "--key", description = "the key of the request; default: the last segment of its path")
    private String key;

    @Override
    public Integer call() throws IOException {
        OperatorConfig operator = read(file);
        String[] methodAndUri = request.strip().split("\\s+");
        if (methodAndUri.length != 2) {
            throw new IllegalArgumentException("--request: \"" + request + "\" isn't \"METHOD /PATH\"");
        }
        Map<String, String> parsedHeaders = parsedHeaders();
        String uri = methodAndUri[1];
        String[] path = PathTemplate.split(uri);
        if (path == null) {
            out().println("refused  400: a path that can't be routed: it holds '.' or '..', or doesn't begin"
                    + " with '/'");
            return EXIT_NEGATIVE;
        }
        RequestRouter router = new RequestRouter(operator.routing());
        RouteExplanation explanation =
                router.table().explain(new RouteRequest(methodAndUri[0], path, parsedHeaders, tenant, requestClass));
        Route match = explanation.match();
        int exitCode = match == null ? explainUnmatched(router.config()) : explainMatch(router, match, keyOf(uri));
        String quota = router.describeQuota(tenant, match);
        out().println("quota    " + (quota == null ? "none" : quota));
        explanation.others().forEach(other -> out().println("not      " + other));
        return exitCode;
    }

    private Map<String, String> parsedHeaders() {
        Map<String, String> parsed = new HashMap<>();
        for (String header : headers) {
            int colon = header.indexOf(':');
            if (colon <= 0) {
                throw new IllegalArgumentException("--header: \"" + header + "\" isn't \"NAME: VALUE\"");
            }
            String name = header.substring(0, colon).strip().toLowerCase(Locale.ROOT);
            parsed.put(name, header.substring(colon + 1).strip());
        }
        return parsed;
    }

    private String keyOf(String uri) {
        if (key != null) {
            return key;
        }
        String path = uri.split("[?#]", 2)[0];
        return path.substring(path.lastIndexOf('/') + 1);
    }

    private int explainUnmatched(RoutingConfig routing) {
        if (routing.unmatchedPool() == null) {
            out().println("refused  404: no route takes it");
            return EXIT_NEGATIVE;
        }
        out().println("route    none takes it");
        out().println("pool     " + routing.unmatchedPool() + ", as all that no route takes");
        return EXIT_OK;
    }

    private int explainMatch(RequestRouter router, Route match, String requestKey) {
        RouteConfig route = router.config().routes().stream()
                .filter(candidate -> candidate.route() == match)
                .findFirst()
                .orElseThrow();
        int destination = router.destinationOf(match, requestKey);
        out().println("route    " + match.name() + ": " + ConfigFormatter.describe(match));
        if (destination < 0) {
            out().println("pool     none: all weights are 0");
        } else {
            explainPool(
                    router.config(),
                    route,
                    route.destinations().get(destination).pool(),
                    requestKey);
        }
        out().println("rate     of the route: " + ConfigFormatter.describe(route.rate()));
        out().println("retries  " + ConfigFormatter.describe(route.retryBudget()));
        return destination < 0 ? EXIT_NEGATIVE : EXIT_OK;
    }

    private void explainPool(RoutingConfig routing, RouteConfig route, String poolName, String requestKey) {
        String split = route.destinations().size() > 1
                ? ", by the split " + ConfigFormatter.destinations(route) + " for key '" + requestKey + "'"
                : "";
        out().println("pool     " + poolName + split);
        String spillTargets = ConfigFormatter.spillTargets(route);
        if (!spillTargets.isEmpty()) {
            out().println("spills   to " + spillTargets + ", as the health of " + poolName + " falls");
        }
        routing.pools().stream().filter(pool -> pool.name().equals(poolName)).forEach(pool -> out().println(
                        "limit    of pool " + poolName + ": " + ConfigFormatter.describe(pool.limit())));
    }
}
