package loadbalancer.simulator.sockets;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongConsumer;

/** A real balancer in a process of its own, from its jar, before upstreams that are known from the start. */
public final class BalancerChildProcess implements Closeable {
    private static final long STOP_S = 10;
    private static final long AGAIN_NS = 5_000_000;
    private static final int RUNS = -1;

    /** One that did not come up. */
    public static final class DidNotStart extends IOException {
        private static final long serialVersionUID = 1L;
        private final int exitCode;

        DidNotStart(String message, int exitCode) {
            super(message);
            this.exitCode = exitCode;
        }

        /** What it ended with, or -1 where it ran on without being ready, and was ended. */
        public int exitCode() {
            return exitCode;
        }
    }

    private final Process process;
    private final InetSocketAddress address;
    private final Path config;
    private final List<String> log = new ArrayList<>();

    /**
     * Starts one and waits until it is ready.
     *
     * @param jar the balancer's jar
     * @param upstreams id and address of each
     * @throws IOException where it doesn't come up; the message ends with its log
     */
    public BalancerChildProcess(Path jar, Map<String, InetSocketAddress> upstreams) throws IOException {
        this(
                List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+UseSerialGC",
                        "-Xmx64m",
                        "-jar",
                        jar.toString(),
                        "serve"),
                Path.of("."),
                config(upstreams));
    }

    /**
     * Starts one by a command and waits until it is ready.
     *
     * @param command what starts it
     * @param folder where it starts
     * @param settings its configuration, in the form that the deployment gives it
     * @throws IOException where it doesn't come up; the message ends with its log
     */
    public BalancerChildProcess(List<String> command, Path folder, Map<String, Object> settings) throws IOException {
        this(command, folder, settings, Map.of());
    }

    /**
     * The same with further variables, such as {@code ROUTER_OPERATOR_FILE}.
     *
     * @param environment variables beside those of this process
     * @throws IOException where it doesn't come up; the message ends with its log
     */
    public BalancerChildProcess(
            List<String> command, Path folder, Map<String, Object> settings, Map<String, String> environment)
            throws IOException {
        this(command, folder, settings, environment, pid -> {});
    }

    /**
     * The same, where somebody has to know of the process from its first moment on.
     *
     * @param begun gets its id before it is ready
     * @throws DidNotStart where it doesn't come up; the message ends with its log
     */
    public BalancerChildProcess(
            List<String> command,
            Path folder,
            Map<String, Object> settings,
            Map<String, String> environment,
            LongConsumer begun)
            throws IOException {
        config = Files.createTempFile("balancer", ".json");
        Files.writeString(config, new ObjectMapper().writeValueAsString(settings));
        ProcessBuilder start = new ProcessBuilder(command).directory(folder.toFile());
        start.environment().put("ROUTER_CONFIG", config.toString());
        start.environment().remove("ROUTER_OPERATOR_FILE");
        start.environment().remove("ROUTER_INHERITED_FD");
        start.environment().putAll(environment);
        start.redirectErrorStream(true);
        process = start.start();
        begun.accept(process.pid());
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroy)); // also on Ctrl-C nothing stays
        BufferedReader out =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        InetSocketAddress found = null;
        while (found == null) {
            String line = out.readLine();
            if (line == null) {
                break;
            }
            log.add(line);
            int at = line.indexOf("listening on ");
            if (at >= 0) {
                found = new InetSocketAddress(
                        InetAddress.getLoopbackAddress(), Integer.parseInt(line.substring(line.lastIndexOf(':') + 1)));
            }
        }
        if (found == null) {
            int code = exitCode();
            close(); // nobody else knows of it
            throw new DidNotStart("the balancer didn't start: " + String.join("; ", log), code);
        }
        address = found;
        Thread reader = new Thread(
                () -> {
                    try {
                        for (String line = out.readLine(); line != null; line = out.readLine()) {
                            synchronized (log) {
                                log.add(line);
                            }
                        }
                    } catch (IOException e) {
                        Thread.currentThread().interrupt(); // it has ended
                    }
                },
                "balancer's log");
        reader.setDaemon(true);
        reader.start();
        try {
            awaitReady();
        } catch (IOException e) {
            close(); // nobody else knows of it
            throw e;
        }
    }

    private void awaitReady() throws IOException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (System.nanoTime() < until && process.isAlive()) {
            Exchange ready =
                    Exchange.of(address, "GET /-/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", 2_000);
            if (ready.status() == 200) {
                return;
            }
            LockSupport.parkNanos(AGAIN_NS); // asking must not cost it the core that it starts on
        }
        throw new DidNotStart(
                "the balancer wasn't ready in time: " + String.join("; ", log()),
                process.isAlive() ? RUNS : exitCode());
    }

    private int exitCode() {
        try {
            return process.waitFor(STOP_S, TimeUnit.SECONDS) ? process.exitValue() : RUNS;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return RUNS;
        }
    }

    private static Map<String, Object> config(Map<String, InetSocketAddress> upstreams) {
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("Balancers", 1);
        settings.put("Quantum", 5_000);
        settings.put("MembershipMode", "push");
        settings.put(
                "Classes",
                List.of(
                        Map.of("Name", "seat-lookup", "Idempotency", "safe", "GoalTime", 200_000, "GiveUp", 1_000_000),
                        Map.of(
                                "Name",
                                "book-seat",
                                "Idempotency",
                                "unsafe",
                                "GoalTime",
                                800_000,
                                "GiveUp",
                                3_000_000)));
        settings.put(
                "Limits",
                Map.of("TryLimit", 3, "MayDuplicate", false, "Cancel", true, "Probes", false, "DialTimeout", 100_000));
        settings.put(
                "Rules",
                Map.of(
                        "AnswerSlack",
                        20_000,
                        "DrainGrace",
                        1_500_000,
                        "AskWithin",
                        10_000_000,
                        "ColdFrom",
                        0.3,
                        "RampTime",
                        5_000_000,
                        "OverloadFactor",
                        3.0,
                        "Fall",
                        2_000_000));
        List<Map<String, Object>> targets = new ArrayList<>();
        upstreams.forEach((id, at) -> targets.add(Map.of(
                "uid", id, "endpoint", at.getAddress().getHostAddress() + ":" + at.getPort(), "state", "in_service")));
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("name", "lab");
        all.put("listen", "127.0.0.1:0");
        all.put("discovery", "127.0.0.1:9");
        all.put("seed", "1");
        all.put("settings", settings);
        all.put("known", Map.of("rev", 1, "all", true, "targets", targets));
        return all;
    }

    /** Where it takes requests. */
    public InetSocketAddress address() {
        return address;
    }

    /** Its process id: of the program itself where its command ends in {@code exec}. */
    public long pid() {
        return process.pid();
    }

    /** What it has said. */
    public List<String> log() {
        synchronized (log) {
            return List.copyOf(log);
        }
    }

    /** Whether it still runs. */
    public boolean alive() {
        return process.isAlive();
    }

    /** Ends it in order, and if it doesn't end, at once. */
    @Override
    public void close() throws IOException {
        process.destroy();
        try {
            if (!process.waitFor(STOP_S, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
        Files.deleteIfExists(config);
    }
}
