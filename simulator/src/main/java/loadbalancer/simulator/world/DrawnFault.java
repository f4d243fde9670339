package loadbalancer.simulator.world;

import java.util.function.LongConsumer;
import loadbalancer.simulator.engine.RandomStream;

/**
 * A fault of a plan with the values that a seed has drawn for it.
 *
 * @param kind a name from {@link FaultKinds}
 * @param pool the pool whose upstreams are affected; null for all pools
 * @param from start of the fault, in simulated µs
 * @param length duration of the fault, in µs
 * @param fraction of the upstreams or balancers that are affected; the meaning of {@code fraction}, {@code size} and
 *     {@code extra} depends on the kind
 * @param random for draws that are made when the fault starts
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

    /** {@code extra}, which is in seconds, converted to µs. */
    long extraMicros() {
        return Math.round(extra * SECOND_MICROS);
    }

    /** Schedules {@code begin} at the start of the fault, and {@code end} at its end. */
    void during(World world, LongConsumer begin, LongConsumer end) {
        world.simulation.at(from, begin::accept);
        world.simulation.at(from + length, end::accept);
    }
}
