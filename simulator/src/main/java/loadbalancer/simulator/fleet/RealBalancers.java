package loadbalancer.simulator.fleet;

import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import loadbalancer.simulator.sockets.BalancerChildProcess;

/** Balancers by the deployment's {@code run} line, each in a process of its own. */
final class RealBalancers implements AutoCloseable {
    private static final long SAMPLE_NS = 20_000_000;
    /** That a start may take before the process is ended: one that collects garbage without end is not waited for. */
    private static final long START_NS = 60_000_000_000L;

    /**
     * How a start went.
     *
     * @param process null where it isn't ready
     * @param exitCode of one that ended; -1 where it runs, or ran without being ready
     * @param millis until it was ready, or had ended
     * @param rssBytes the most that was seen of it meanwhile, every 20 ms
     * @param why what it said where it isn't ready
     */
    record Start(BalancerChildProcess process, int exitCode, double millis, double rssBytes, String why) {}

    private final Path root;
    private final String run;
    private final List<BalancerChildProcess> processes = new ArrayList<>();
    private final Thread end = new Thread(this::endAll, "end");

    /**
     * Nothing starts yet.
     *
     * @param root of the project, where the run line starts
     * @throws IOException where there is no such line
     */
    RealBalancers(Path root) throws IOException {
        this.root = root;
        this.run = new TomlMapper()
                .readTree(Files.readString(root.resolve("deploy/balancer.toml")))
                .get("run")
                .asText();
        Runtime.getRuntime().addShutdownHook(end); // also on Ctrl-C: no process and no file stays
    }

    /** Starts one and waits until it is ready or has ended. */
    Start start(Map<String, Object> config) throws IOException {
        return start(config, Map.of());
    }

    /** The same with further variables, such as the operator file. */
    Start start(Map<String, Object> config, Map<String, String> environment) throws IOException {
        AtomicLong pid = new AtomicLong();
        AtomicBoolean over = new AtomicBoolean();
        AtomicLong most = new AtomicLong();
        long began = System.nanoTime();
        Thread sampler = new Thread(
                () -> {
                    while (!over.get()) {
                        if (pid.get() != 0 && System.nanoTime() - began > START_NS) {
                            ProcessHandle.of(pid.get()).ifPresent(ProcessHandle::destroyForcibly);
                        }
                        double rss = pid.get() == 0 ? Double.NaN : Host.status(pid.get(), "VmRSS");
                        if (!Double.isNaN(rss)) {
                            most.accumulateAndGet((long) rss, Math::max);
                        }
                        LockSupport.parkNanos(SAMPLE_NS);
                    }
                },
                "rss");
        sampler.setDaemon(true);
        sampler.start();
        try {
            BalancerChildProcess process =
                    new BalancerChildProcess(List.of("bash", "-c", run), root, config, environment, pid::set);
            synchronized (this) {
                processes.add(process);
            }
            return new Start(
                    process,
                    -1,
                    (System.nanoTime() - began) / 1e6,
                    Math.max(most.get(), Host.status(process.pid(), "VmHWM")),
                    "");
        } catch (BalancerChildProcess.DidNotStart e) {
            return new Start(null, e.exitCode(), (System.nanoTime() - began) / 1e6, most.get(), e.getMessage());
        } finally {
            over.set(true);
        }
    }

    private synchronized void endAll() {
        for (BalancerChildProcess process : processes) {
            try {
                process.close();
            } catch (IOException e) {
                System.err.println("a balancer's file stays: " + e.getMessage());
            }
        }
        processes.clear();
    }

    @Override
    public void close() {
        endAll();
        try {
            Runtime.getRuntime().removeShutdownHook(end);
        } catch (IllegalStateException already) {
            Thread.currentThread().interrupt(); // it all ends
        }
    }
}
