package loadbalancer.simulator.cli;

import java.io.File;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.IntStream;
import loadbalancer.simulator.queue.QueueModel;
import loadbalancer.simulator.queue.QueueModel.Setting;
import loadbalancer.simulator.queue.Theory;
import loadbalancer.simulator.report.FigurePlot;
import loadbalancer.simulator.stats.Interval;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code simulator theory}: the engine against what theory says, and the paper's Figure 2 drawn anew. */
@Command(
        name = "theory",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description =
                "Holds the bare model against theory: M/M/1, M/M/c, Mitzenmacher's limit, the paper's fixed point;"
                        + " then draws the paper's Figure 2 anew.",
        footer = {"", "Example:", "  bin/simulator theory --jobs 3000000 --html figure2.html"})
final class TheoryCommand implements Callable<Integer> {
    private static final double SHARE = 0.3;
    private static final double FAST = 1.95;
    private static final double SLOW = 0.6;
    private static final double[] LAMBDAS = {0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 0.95};
    private static final List<String> FIGURE = List.of("jsq", "jsq-d", "sed-d", "jsq-dfds", "jsq-das");

    @Option(names = "--jobs", defaultValue = "2000000", description = "Jobs of each run; 2,000,000.")
    private long jobs;

    @Option(names = "--seeds", defaultValue = "8", description = "Seeds of each check against theory; 8.")
    private int seeds;

    @Option(names = "--html", description = "Writes the plot of Figure 2 there.")
    private File html;

    @Override
    public Integer call() throws IOException {
        System.out.printf("%-34s%10s%24s%10s%n", "model", "theory", "found (95%)", "held");
        for (double load : new double[] {0.5, 0.7, 0.9}) {
            check("M/M/1 at " + load, "random", 1, 1, load, 1, 1, Theory.mm1(load));
            check("M/M/4 at " + load, "random", 1, 4, 4 * load, 1, 1, Theory.mmc(4, load));
        }
        for (double load : new double[] {0.7, 0.9, 0.95}) {
            for (int sampled = 2; sampled <= 3; sampled++) {
                check(
                        "JSQ(" + sampled + ") of 1,000 at " + load,
                        "jsq-d",
                        1000,
                        1,
                        load,
                        1,
                        sampled,
                        Theory.jsqD(sampled, load));
            }
        }
        for (double load : new double[] {0.5, 0.7, 0.8}) {
            check(
                    "JSQ-(2,2), eq. 5 as printed, at " + load,
                    "jsq-dfds",
                    1000,
                    1,
                    load,
                    SHARE,
                    4,
                    Theory.jsqDfDs(2, 2, load, SHARE, FAST, SLOW, true));
            check(
                    "  with the job's own service",
                    "jsq-dfds",
                    1000,
                    1,
                    load,
                    SHARE,
                    4,
                    Theory.jsqDfDs(2, 2, load, SHARE, FAST, SLOW, false));
        }
        figure();
        return 0;
    }

    private void check(
            String name,
            String policy,
            int servers,
            int cores,
            double lambda,
            double share,
            int sampled,
            double theory) {
        Interval found = Interval.of(IntStream.rangeClosed(1, seeds)
                .parallel()
                .mapToDouble(seed -> QueueModel.run(
                                setting(policy, servers, cores, lambda, share, sampled, jobs / seeds, seed))
                        .meanResponse())
                .toArray());
        System.out.printf(
                Locale.ROOT,
                "%-34s%10.4f%15.4f +- %.4f%10s%n",
                name,
                theory,
                found.mean(),
                found.halfWidth(),
                found.holds(theory) ? "yes" : String.format(Locale.ROOT, "%+.2f%%", 100 * (found.mean() / theory - 1)));
    }

    private static Setting setting(
            String policy, int servers, int cores, double lambda, double share, int sampled, long jobs, long seed) {
        boolean mixed = share < 1;
        return new Setting(
                policy,
                servers,
                cores,
                lambda,
                share,
                mixed ? FAST : 1,
                mixed ? SLOW : 1,
                sampled,
                sampled / 2,
                jobs,
                seed);
    }

    private void figure() throws IOException {
        System.out.printf(
                "%nFigure 2: k = 1000, p = 0.3, rates 1.95 and 0.6, d = 4, a = 2; mean response%n%-10s", "lambda");
        FIGURE.forEach(p -> System.out.printf("%12s", p));
        System.out.printf("%18s%n", "das found fast");
        List<double[]> curves = new ArrayList<>();
        FIGURE.forEach(p -> curves.add(new double[LAMBDAS.length]));
        for (int i = 0; i < LAMBDAS.length; i++) {
            double lambda = LAMBDAS[i];
            List<QueueModel.Result> row = FIGURE.parallelStream()
                    .map(p ->
                            unstable(p, lambda) ? null : QueueModel.run(setting(p, 1000, 1, lambda, SHARE, 4, jobs, 1)))
                    .toList();
            System.out.printf(Locale.ROOT, "%-10.2f", lambda);
            for (int p = 0; p < row.size(); p++) {
                curves.get(p)[i] = row.get(p) == null ? Double.NaN : row.get(p).meanResponse();
                System.out.printf(Locale.ROOT, "%12.4f", curves.get(p)[i]);
            }
            System.out.printf(Locale.ROOT, "%18.4f%n", row.get(row.size() - 1).fastIdentified());
        }
        if (html != null) {
            FigurePlot.write(html, "Figure 2 drawn anew", "lambda", "mean response", LAMBDAS, FIGURE, curves);
        }
    }

    // JSQ-(dF,dS) has a smaller stability region: beyond it a run only shows how long it was.
    private static boolean unstable(String policy, double lambda) {
        DoubleUnaryOperator fastLoad = l -> Theory.jsqDfDs(2, 2, l, SHARE, FAST, SLOW, false);
        return policy.equals("jsq-dfds") && fastLoad.applyAsDouble(lambda) > 50;
    }
}
