package loadbalancer.simulator.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.stream.IntStream;
import loadbalancer.simulator.engine.RandomStream;
import loadbalancer.simulator.engine.RandomStreams;

/**
 * What changes, and when: machines, racks and zones that restart, and configurations that change. The same seed gives
 * the same events, whatever the machine that plays them does. Each event is one revision of the list.
 */
final class Churn {
    /**
     * How often what happens, a second, over the whole service, as Poisson processes.
     *
     * @param configurations changes of one entry's {@code capacity_hint}
     * @param speed all rates are multiplied by this: an hour's churn in a minute is 60
     * @param drain µs from "terminating" to "terminated", not shortened by {@code speed}
     * @param gone µs from there to "in_service", the same
     */
    public record Rates(
            double machines, double racks, double zones, double configurations, double speed, long drain, long gone) {}

    /** What an event is of. */
    enum What {
        MACHINE,
        RACK,
        ZONE,
        CONFIGURATION
    }

    /** At that time, in µs from the start, these machines have that state. */
    record Event(long at, What what, List<Integer> machines, String state, double hint, boolean booted) {}

    private record Step(long at, long order, What what, int from, int to, int stage, int restart) {}

    private static final String[] STATES = {"terminating", "terminated", "in_service"};

    private final Machines machines;
    private final Rates rates;
    private final long seed;
    private final long[] boots; // ms since 1970, as last listed

    Churn(Machines machines, Rates rates, long seed) {
        this.machines = machines;
        this.rates = rates;
        this.seed = seed;
        this.boots = new long[machines.many()];
    }

    /** All that happens in that time (µs), in order; what has not come to its end by then stays as it is. */
    List<Event> events(long length) {
        PriorityQueue<Step> due =
                new PriorityQueue<>(Comparator.comparingLong(Step::at).thenComparingLong(Step::order));
        begin(due, length, What.MACHINE, rates.machines());
        begin(due, length, What.RACK, rates.racks());
        begin(due, length, What.ZONE, rates.zones());
        begin(due, length, What.CONFIGURATION, rates.configurations());
        RandomStream hints = new RandomStreams(seed).of("churn", 0, "hints");
        int[] owner = new int[machines.many()]; // the restart that a machine is in; 0: none
        List<Event> events = new ArrayList<>();
        int order = due.size();
        for (Step step = due.poll(); step != null && step.at < length; step = due.poll()) {
            List<Integer> hit = owned(owner, step);
            double hint = step.what == What.CONFIGURATION ? Math.round(hints.between(0.5, 2) * 100) / 100.0 : 1;
            if (hit.isEmpty()) {
                continue; // it is in another restart already
            }
            if (step.what == What.CONFIGURATION) {
                events.add(new Event(step.at, step.what, hit, "in_service", hint, false));
                continue;
            }
            int next = step.stage == 2 ? 0 : step.restart;
            for (int machine : hit) {
                owner[machine] = next;
            }
            events.add(new Event(step.at, step.what, hit, STATES[step.stage], 1, step.stage == 2));
            if (step.stage < 2) {
                long wait = step.stage == 0 ? rates.drain() : rates.gone();
                due.add(new Step(step.at + wait, ++order, step.what, step.from, step.to, step.stage + 1, step.restart));
            }
        }
        return events;
    }

    private static List<Integer> owned(int[] owner, Step step) {
        int by = step.stage == 0 ? 0 : step.restart;
        return IntStream.range(step.from, step.to)
                .filter(i -> owner[i] == by)
                .boxed()
                .toList();
    }

    private void begin(PriorityQueue<Step> due, long length, What what, double perSecond) {
        double rate = perSecond * rates.speed();
        if (rate <= 0) {
            return;
        }
        RandomStream random = new RandomStreams(seed).of("churn", what.ordinal(), "starts");
        double at = random.exponential(1e6 / rate);
        for (int n = 0; at < length; n++) {
            int of = random.below(
                    switch (what) {
                        case RACK -> machines.racks();
                        case ZONE -> machines.zones();
                        default -> machines.many();
                    });
            int from = what == What.RACK ? machines.rackFrom(of) : what == What.ZONE ? machines.zoneFrom(of) : of;
            int to = what == What.RACK
                    ? machines.rackFrom(of + 1)
                    : what == What.ZONE ? machines.zoneFrom(of + 1) : of + 1;
            due.add(new Step(Math.round(at), due.size(), what, from, to, 0, 1 + due.size()));
            at += random.exponential(1e6 / rate);
        }
    }

    /** What discovery tells of an event that happens at that time of day. */
    List<Machines.Change> changes(Event event, long unixMs) {
        if (event.booted) {
            event.machines.forEach(i -> boots[i] = unixMs);
        }
        return event.machines.stream()
                .map(i -> machines.entry(i, event.state, event.hint, boots[i]))
                .toList();
    }
}
