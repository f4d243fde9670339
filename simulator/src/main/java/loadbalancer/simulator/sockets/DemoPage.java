package loadbalancer.simulator.sockets;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import loadbalancer.policy.Idempotency;
import loadbalancer.simulator.world.WorldPlan;
import org.HdrHistogram.Histogram;

/** What a day on sockets came to: a table, rules held against the ledger, and a page by itself. */
public final class DemoPage {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 160;

    private final WorldPlan plan;
    private final Load load;
    private final Map<String, Integer> ledger;

    /** {@code ledger}: how often each request ran, by the id of its try. */
    public DemoPage(WorldPlan plan, Load load, Map<String, Integer> ledger) {
        this.plan = plan;
        this.load = load;
        this.ledger = ledger;
    }

    /** Requests that must not run twice and did, or were served and never ran; a line each. */
    public List<String> violations() {
        List<String> violations = new ArrayList<>();
        for (Load.Outcome outcome : load.outcomes()) {
            int ran = outcome.ids().stream()
                    .mapToInt(id -> ledger.getOrDefault(id, 0))
                    .sum();
            if (plan.classes().get(outcome.kind()).effect() == Idempotency.NON_IDEMPOTENT && ran > 1) {
                violations.add(outcome.ids() + " ran " + ran + " times");
            }
            if (outcome.served() && ran == 0) {
                violations.add(outcome.ids() + " was served and never ran");
            }
        }
        return violations;
    }

    /** The table's lines. */
    public List<String> table() {
        List<String> lines = new ArrayList<>();
        lines.add(String.format(
                "%-14s %9s %9s %9s %9s %9s %9s", "class", "asked", "in aim", "served", "p50 ms", "p99 ms", "p99.9 ms"));
        for (int i = 0; i < plan.classes().size(); i++) {
            int kind = i;
            WorldPlan.RequestClassPlan requestKind = plan.classes().get(i);
            List<Load.Outcome> own =
                    load.outcomes().stream().filter(o -> o.kind() == kind).toList();
            long served = own.stream().filter(Load.Outcome::served).count();
            long inAim = own.stream()
                    .filter(o -> o.served() && o.micros() <= requestKind.latencyObjectiveMicros())
                    .count();
            Histogram histogram = load.latencies(i);
            lines.add(String.format(
                    Locale.ROOT,
                    "%-14s %9d %9.4f %9.4f %9.1f %9.1f %9.1f",
                    requestKind.name(),
                    own.size(),
                    inAim / (double) Math.max(1, own.size()),
                    served / (double) Math.max(1, own.size()),
                    histogram.getValueAtPercentile(50) / 1e3,
                    histogram.getValueAtPercentile(99) / 1e3,
                    histogram.getValueAtPercentile(99.9) / 1e3));
        }
        lines.add("last status of each request (0: none in time): " + load.statuses());
        List<String> violations = violations();
        lines.add("rules broken by the ledger: " + violations.size());
        violations.stream().limit(10).forEach(lines::add);
        return lines;
    }

    /** The page. */
    public String html(String question) {
        int seconds = (int) Math.max(1, plan.length() / 1_000_000);
        double[] asked = new double[seconds];
        double[] good = new double[seconds];
        for (Load.Outcome outcome : load.outcomes()) {
            int s = (int) Math.min(seconds - 1, outcome.second());
            double priorityWeight = plan.classes().get(outcome.kind()).priorityWeight();
            asked[s] += priorityWeight;
            good[s] += outcome.served()
                            && outcome.micros()
                                    <= plan.classes().get(outcome.kind()).latencyObjectiveMicros()
                    ? priorityWeight
                    : 0;
        }
        StringBuilder line = new StringBuilder();
        for (int i = 0; i < seconds; i++) {
            double y = HEIGHT * (1 - (asked[i] <= 0 ? 1 : good[i] / asked[i]));
            line.append(String.format(Locale.ROOT, "%.1f,%.1f ", WIDTH * (i + 0.5) / seconds, y));
        }
        StringBuilder shades = new StringBuilder();
        for (WorldPlan.Fault fault : plan.faults()) {
            double from = fault.at().midpoint() / plan.length() * WIDTH;
            double wide = Math.max(2, fault.length().midpoint() / plan.length() * WIDTH);
            shades.append(String.format(
                    Locale.ROOT,
                    "<rect x=%.1f y=0 width=%.1f height=%d fill='#fdd'>" + "<title>%s</title></rect>",
                    from,
                    wide,
                    HEIGHT,
                    fault.kind()));
        }
        return "<!doctype html><meta charset=utf-8><title>Demo</title><style>body{font:15px sans-serif;margin:2em}"
                + "pre{font-size:14px}svg{border:1px solid #ccc}</style><h1>A day on sockets</h1><p>" + question
                + "</p><pre>" + String.join("\n", table()) + "</pre><h2>Worth served within the aim, by second</h2><p>"
                + "0 at the bottom, all at the top; troubles shaded.</p><svg width=" + WIDTH + " height=" + HEIGHT + ">"
                + shades + "<polyline fill=none stroke='#275' stroke-width=2 points='" + line + "'/></svg>";
    }
}
