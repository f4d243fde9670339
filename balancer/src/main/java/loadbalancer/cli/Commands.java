package loadbalancer.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import loadbalancer.operator.ConfigVocabulary;
import loadbalancer.operator.OperatorConfig;
import loadbalancer.operator.OperatorReader;
import loadbalancer.process.OperatorFileLoader;
import loadbalancer.router.RequestRouter;
import loadbalancer.router.RouteConfig;
import loadbalancer.router.RoutingConfig;
import loadbalancer.routes.PathTemplate;
import loadbalancer.routes.Route;
import loadbalancer.routes.RouteExplanation;
import loadbalancer.routes.RouteRequest;
import loadbalancer.toml.Faults;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** All commands beside {@code serve} and {@code wirehost}, which start without any of this. */
@Command(
        name = "load-balancer",
        mixinStandardHelpOptions = true,
        version = "load-balancer 0.1.0",
        description = "A balancer, and the tools for its operator file.",
        footer = {
            "",
            "serve and wirehost take no options: they go by $ROUTER_CONFIG and its companions.",
            "Exit codes: 0 as asked, 1 a request that is refused or files that differ, 2 unusable input."
        },
        subcommands = {Commands.Check.class, Commands.Explain.class, Commands.Diff.class, Commands.Routes.class})
public final class Commands {
    private static final int UNUSABLE = 2;
    private static final int NAME_WIDTH = 16;
    private static final int MATCH_WIDTH = 48;

    private Commands() {}

    /** Runs a command line; returns the code to exit with. */
    public static int run(String... arguments) {
        return run(new PrintWriter(System.out, true), new PrintWriter(System.err, true), arguments);
    }

    static int run(PrintWriter out, PrintWriter err, String... arguments) {
        if (arguments.length == 0) {
            new CommandLine(new Commands()).usage(err);
            return UNUSABLE;
        }
        return new CommandLine(new Commands())
                .setOut(out)
                .setErr(err)
                .setExecutionExceptionHandler((e, line, p) -> {
                    if (e instanceof Faults f) {
                        f.lines().forEach(line.getErr()::println);
                    } else {
                        line.getErr().println(e.getMessage());
                    }
                    return UNUSABLE;
                })
                .execute(arguments);
    }

    private abstract static class OnFile implements Callable<Integer> {
        @Option(
                names = "--config",
                paramLabel = "FILE",
                description = "the balancer's own configuration: names of classes and tenants are held against it")
        private Path config;

        @Spec
        private CommandSpec spec;

        OperatorConfig read(Path file) throws IOException {
            return OperatorReader.read(
                    file, config == null ? OperatorConfig.Site.unknown() : OperatorFileLoader.site(config));
        }

        PrintWriter out() {
            return spec.commandLine().getOut();
        }
    }

    /** Lists what is wrong with a file. */
    @Command(
            name = "check",
            description = "Lists all that is wrong with an operator file: FILE:LINE: what.",
            mixinStandardHelpOptions = true)
    static final class Check extends OnFile {
        @Parameters(paramLabel = "FILE")
        private Path file;

        @Override
        public Integer call() throws IOException {
            OperatorConfig o = read(file);
            o.notes().forEach(out()::println);
            out().println(file.getFileName() + ": sound; " + o.pools().size() + " pools, "
                    + o.front().routes().size() + " routes");
            return 0;
        }
    }

    /** Says what becomes of one request. */
    @Command(
            name = "explain",
            description = "Says which route, pool and limits a request meets, and why not others.",
            mixinStandardHelpOptions = true,
            footer = {
                "",
                "Example:",
                "  load-balancer explain deploy/operator.toml"
                        + " --request \"POST /api/k1\" --header \"X-Channel: counter\" --tenant t1"
            })
    static final class Explain extends OnFile {
        @Parameters(paramLabel = "FILE")
        private Path file;

        @Option(names = "--request", required = true, paramLabel = "\"METHOD /PATH\"")
        private String request;

        @Option(names = "--header", paramLabel = "\"NAME: VALUE\"")
        private List<String> headers = List.of();

        @Option(names = "--tenant")
        private String tenant;

        @Option(names = "--class", paramLabel = "CLASS")
        private String kind;

        @Option(names = "--key", description = "what the request concerns; usual: the last part of its path")
        private String key;

        @Override
        public Integer call() throws IOException {
            OperatorConfig o = read(file);
            String[] words = request.strip().split("\\s+");
            if (words.length != 2) {
                throw new IllegalArgumentException("--request: \"" + request + "\" isn't \"METHOD /PATH\"");
            }
            Map<String, String> named = new HashMap<>();
            for (String h : headers) {
                int colon = h.indexOf(':');
                if (colon <= 0) {
                    throw new IllegalArgumentException("--header: \"" + h + "\" isn't \"NAME: VALUE\"");
                }
                named.put(
                        h.substring(0, colon).strip().toLowerCase(Locale.ROOT),
                        h.substring(colon + 1).strip());
            }
            String[] path = PathTemplate.split(words[1]);
            if (path == null) {
                out().println("refused  400: a path that can't be routed: it holds '.' or '..', or doesn't begin"
                        + " with '/'");
                return 1;
            }
            String plain = words[1].split("[?#]", 2)[0];
            String about = key != null ? key : plain.substring(plain.lastIndexOf('/') + 1);
            RequestRouter front = new RequestRouter(o.front());
            RouteExplanation why = front.table().explain(new RouteRequest(words[0], path, named, tenant, kind));
            int code = why.match() == null ? unmatched(o.front()) : taken(o.front(), front, why.match(), about);
            String limit = front.describeQuota(tenant, why.match());
            out().println("quota    " + (limit == null ? "none" : limit));
            why.others().forEach(other -> out().println("not      " + other));
            return code;
        }

        private int unmatched(RoutingConfig plan) {
            if (plan.unmatchedPool() == null) {
                out().println("refused  404: no route takes it");
                return 1;
            }
            out().println("route    none takes it");
            out().println("pool     " + plan.unmatchedPool() + ", as all that no route takes");
            return 0;
        }

        private int taken(RoutingConfig plan, RequestRouter front, Route route, String about) {
            RouteConfig r = plan.routes().stream()
                    .filter(p -> p.route() == route)
                    .findFirst()
                    .orElseThrow();
            int way = front.destinationOf(route, about);
            out().println("route    " + route.name() + ": " + ConfigVocabulary.of(route));
            out().println("pool     "
                    + (way < 0
                            ? "none: all weights are 0"
                            : r.destinations().get(way).pool()
                                    + (r.destinations().size() > 1
                                            ? ", by the split " + ConfigVocabulary.ways(r) + " for key '" + about + "'"
                                            : "")));
            if (way >= 0) {
                String pool = r.destinations().get(way).pool();
                String spills = ConfigVocabulary.spills(r);
                if (!spills.isEmpty()) {
                    out().println("spills   to " + spills + ", as the health of " + pool + " falls");
                }
                plan.pools().stream().filter(p -> p.name().equals(pool)).forEach(p -> out().println(
                                "limit    of pool " + pool + ": " + ConfigVocabulary.of(p.limit())));
            }
            out().println("rate     of the route: " + ConfigVocabulary.of(r.rate()));
            out().println("retries  " + ConfigVocabulary.of(r.retryBudget()));
            return way < 0 ? 1 : 0;
        }
    }

    /** Says what would change. */
    @Command(
            name = "diff",
            description = "Says in words what will change in service; exit 1 where anything does.",
            mixinStandardHelpOptions = true)
    static final class Diff extends OnFile {
        @Parameters(index = "0", paramLabel = "OLD")
        private Path before;

        @Parameters(index = "1", paramLabel = "NEW")
        private Path next;

        @Override
        public Integer call() throws IOException {
            List<String> changes = ConfigVocabulary.changes(read(before), read(next));
            changes.forEach(out()::println);
            if (changes.isEmpty()) {
                out().println("nothing changes in service");
            }
            return changes.isEmpty() ? 0 : 1;
        }
    }

    /** Prints the table of routes. */
    @Command(
            name = "routes",
            description = "Prints the routes, the most specific first.",
            mixinStandardHelpOptions = true)
    static final class Routes extends OnFile {
        @Parameters(paramLabel = "FILE")
        private Path file;

        @Override
        public Integer call() throws IOException {
            OperatorConfig o = read(file);
            String form = "%-" + NAME_WIDTH + "s %-" + MATCH_WIDTH + "s %s%n";
            out().printf(form, "route", "takes", "to");
            for (Route r : new RequestRouter(o.front()).table().routes()) {
                RouteConfig plan = o.front().routes().stream()
                        .filter(p -> p.route() == r)
                        .findFirst()
                        .orElseThrow();
                String spills = ConfigVocabulary.spills(plan);
                out().printf(
                                form,
                                r.name(),
                                ConfigVocabulary.of(r),
                                ConfigVocabulary.ways(plan) + (spills.isEmpty() ? "" : "; spills to " + spills));
            }
            out().printf(
                            form,
                            "(others)",
                            "",
                            o.front().unmatchedPool() == null
                                    ? "refused"
                                    : o.front().unmatchedPool());
            return 0;
        }
    }
}
