package loadbalancer.simulator.fleet;

import com.sun.management.OperatingSystemMXBean;
import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.List;

/** Processor time and heap of this process. */
final class Clocks {
    private static final ThreadMXBean THREADS = ManagementFactory.getPlatformMXBean(ThreadMXBean.class);
    private static final OperatingSystemMXBean SYSTEM =
            ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
    private static final int COLLECTIONS = 2;

    private Clocks() {}

    /** Seconds that these threads have run, all together. */
    static double cpu(List<Long> threads) {
        return threads.stream()
                        .mapToLong(t -> Math.max(0, THREADS.getThreadCpuTime(t)))
                        .sum()
                / 1e9;
    }

    /** Seconds that the whole process has run, garbage collection and compilation among them. */
    static double process() {
        return SYSTEM.getProcessCpuTime() / 1e9;
    }

    /** Bytes that these threads have allocated, whatever has become of them. */
    static double allocated(List<Long> threads) {
        return threads.stream()
                .mapToLong(t -> Math.max(0, THREADS.getThreadAllocatedBytes(t)))
                .sum();
    }

    /** Milliseconds that this process has stood still for collection. */
    static double collected() {
        return ManagementFactory.getGarbageCollectorMXBeans().stream()
                .mapToLong(g -> Math.max(0, g.getCollectionTime()))
                .sum();
    }

    /** Bytes of heap in use when all that is garbage has gone. */
    static long retained() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
