package loadbalancer.simulator.world;

import java.util.function.LongConsumer;
import loadbalancer.simulator.engine.RandomStream;

/**
 * A fault of a plan with the figures that a seed has drawn for it.
 *
 * @param kind as {@link FaultKinds} names it
 * @param pool whose upstreams it concerns; null: any
 * @param from when it begins, in simulated µs
 * @param length for how long, in µs
 * @param fraction of what it concerns; what this, {@code size} and {@code extra} mean goes with the kind
 * @param random for what is drawn when it begins
 */
record DrawnFault(
        String kind,
        String pool,
        long from,
        long length,
        double fraction,
        double size,
        double extra,
        RandomStream random) {
    private static final long SECOND_MICROS = 1_000_000;

    /** The figure {@code extra}, which is in seconds, in µs. */
    long extraMicros() {
        return Math.round(extra * SECOND_MICROS);
    }

    /** Schedules what happens at its begin and at its end. */
    void during(World world, LongConsumer begin, LongConsumer end) {
        world.simulation.at(from, begin::accept);
        world.simulation.at(from + length, end::accept);
    }
}
