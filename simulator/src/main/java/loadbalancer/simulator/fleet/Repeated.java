package loadbalancer.simulator.fleet;

import java.util.Arrays;
import java.util.function.Supplier;

/** Times and sizes of what one thread does, repeated so that compilation and chance weigh little. */
final class Repeated {
    private static final int TIMES = 5;
    private static final int SPIN = 200_000;

    /** What was made last, so that nobody can leave out the making. */
    private static volatile Object kept;

    private Repeated() {}

    /** Milliseconds that {@code work} takes: the middle of five. */
    static double millis(Supplier<?> work) {
        double[] all = new double[TIMES];
        for (int i = 0; i < TIMES; i++) {
            kept = null;
            long began = System.nanoTime();
            kept = work.get();
            all[i] = (System.nanoTime() - began) / 1e6;
        }
        kept = null;
        Arrays.sort(all);
        return all[TIMES / 2];
    }

    /** Nanoseconds that a short {@code work} takes on the mean, of the middle one of five rounds. */
    static double nanos(Supplier<?> work) {
        double[] all = new double[TIMES];
        for (int i = 0; i < TIMES; i++) {
            long began = System.nanoTime();
            for (int n = 0; n < SPIN; n++) {
                kept = work.get();
            }
            all[i] = (System.nanoTime() - began) / (double) SPIN;
        }
        Arrays.sort(all);
        return all[TIMES / 2];
    }

    /** Bytes of heap that what {@code work} makes keeps; 0 where it is lost in what else changes. */
    static double retained(Supplier<?> work) {
        kept = null;
        long before = Clocks.retained();
        Object made = work.get();
        long after = Clocks.retained();
        kept = made;
        return Math.max(0, after - before);
    }
}
