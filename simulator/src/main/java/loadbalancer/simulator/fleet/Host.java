package loadbalancer.simulator.fleet;

import com.sun.management.OperatingSystemMXBean;
import com.sun.management.UnixOperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * What this machine has for scale runs, and what it lacks for a size.
 *
 * @param memory in bytes, of which half may be used
 * @param heap that this process may have, in bytes
 * @param processes that may be started
 * @param descriptors that this process may hold
 * @param cores processors
 */
public record Host(long memory, long heap, int processes, long descriptors, int cores) {
    /** Of all processes together, whatever the machine could bear. */
    static final int PROCESSES = 200;
    /** What a balancer by the run line may use: its limit on the days that are scored. */
    static final long REAL_BYTES = 192L << 20;

    private static final double MB = 1 << 20;
    private static final double OLD = 2.0 / 3; // of a heap, that the collector leaves for what stays

    /** This machine. */
    public static Host here() {
        OperatingSystemMXBean os = ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
        long descriptors =
                os instanceof UnixOperatingSystemMXBean unix ? unix.getMaxFileDescriptorCount() : Integer.MAX_VALUE;
        return new Host(
                os.getTotalMemorySize(),
                Runtime.getRuntime().maxMemory(),
                PROCESSES,
                descriptors,
                Runtime.getRuntime().availableProcessors());
    }

    /** What it lacks for that, with the figure that would be needed; none where it will do. */
    public List<String> lacks(Need need) {
        List<String> all = new ArrayList<>();
        if (need.bytes() > memory / 2) {
            all.add(String.format(
                    Locale.ROOT,
                    "needs %.0f MB of memory, half of this machine's is %.0f MB",
                    need.bytes() / MB,
                    memory / 2 / MB));
        } else if (need.bytes() - need.processes() * REAL_BYTES > heap * OLD) {
            all.add(String.format(
                    Locale.ROOT,
                    "needs -Xmx%.0fm, %.0fm may be used now (LAB_JAVA_OPTS)",
                    (need.bytes() - need.processes() * REAL_BYTES) / MB / OLD,
                    heap / MB));
        }
        if (need.processes() > processes) {
            all.add("needs " + need.processes() + " processes, " + processes + " are allowed");
        }
        if (need.descriptors() > descriptors) {
            all.add("needs " + need.descriptors() + " descriptors, this process may hold " + descriptors);
        }
        return all;
    }

    /** Load over the last minute, of all that runs on this machine. */
    static double load() {
        return ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
    }

    /** A line of {@code /proc/PID/status} in bytes, such as VmRSS or VmHWM; NaN where the process has gone. */
    static double status(long pid, String name) {
        try {
            for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
                if (line.startsWith(name + ":")) {
                    return Long.parseLong(line.replaceAll("[^0-9]", "")) * 1024.0;
                }
            }
        } catch (IOException e) {
            return Double.NaN;
        }
        return Double.NaN;
    }

    /** Processor time of a process so far, in seconds, in steps of 10 ms; NaN where it has gone. */
    static double cpu(long pid) {
        try {
            String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / 100.0;
        } catch (IOException e) {
            return Double.NaN;
        }
    }
}
