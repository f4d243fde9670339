package loadbalancer.simulator.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import loadbalancer.simulator.sockets.KillMatrix;
import loadbalancer.simulator.sockets.MatrixPage;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Breaks connections at every byte and counts what ran. */
@Command(
        name = "matrix",
        mixinStandardHelpOptions = true,
        description = "Breaks the connections of requests to a real"
                + " balancer at every byte, and counts how often each ran and what its client got.",
        footer = {"", "Examples:", "  bin/simulator matrix", "  bin/simulator matrix --every 20 --workers 2"})
final class MatrixCommand implements Callable<Integer> {
    @Option(names = "--jar", defaultValue = "balancer/target/load-balancer.jar", description = "the balancer's jar")
    private Path jar;

    @Option(names = "--every", defaultValue = "1", description = "each so many bytes only")
    private int every;

    @Option(names = "--workers", defaultValue = "4", description = "balancers that are tried at a time")
    private int workers;

    @Option(names = "--html", defaultValue = "simulator/target/matrix.html", description = "where the page goes")
    private Path html;

    @Override
    public Integer call() throws IOException {
        if (!Files.isReadable(jar)) {
            throw new IllegalArgumentException("no jar at " + jar + ": mvn -q -DskipTests -pl balancer -am package");
        }
        long began = System.nanoTime();
        List<KillMatrix.Result> results = new KillMatrix(jar, every).run(Math.max(1, workers), (done, all) -> {
            if (System.console() != null && done % 20 == 0) {
                System.err.printf("\r%d of %d", done, all);
            }
        });
        for (String[] row : KillMatrix.table(results)) {
            System.out.printf("%-12s %-14s %-11s %6s %7s %6s %6s %7s %6s %6s %6s %10s %11s %6s%n", (Object[]) row);
        }
        List<KillMatrix.Result> wrong =
                results.stream().filter(r -> r.wrong() != null).toList();
        wrong.stream()
                .limit(20)
                .forEach(r -> System.out.println("WRONG " + r.of() + ": " + r.wrong() + "; " + r.client()));
        Files.writeString(html, MatrixPage.of(results));
        System.out.printf(
                "%d cases, %d struck, %d wrong, %.0f s; page written to %s%n",
                results.size(),
                results.stream().filter(KillMatrix.Result::struck).count(),
                wrong.size(),
                (System.nanoTime() - began) / 1e9,
                html);
        return wrong.isEmpty() ? 0 : 1;
    }
}
