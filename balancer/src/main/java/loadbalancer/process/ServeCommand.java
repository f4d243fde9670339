package loadbalancer.process;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import loadbalancer.handover.InheritedListener;
import loadbalancer.logs.Log;
import loadbalancer.logs.Slf4jProvider;
import loadbalancer.policy.JsqDasPolicy;
import org.slf4j.LoggerFactory;

/** The command {@code serve}: runs a balancer, configured by environment variables and controlled by signals. */
public final class ServeCommand {
    private static final int EXIT_OK = 0;
    private static final int EXIT_CANNOT_START = 1;
    /** How long to wait for the line with the reason of a failed start to be written. */
    private static final long ERROR_LINE_TIMEOUT_MILLIS = 2_000;
    /** How long to wait for the last log lines of a graceful shutdown to be written. */
    private static final long LAST_LINES_TIMEOUT_MILLIS = 20;

    private final Map<String, String> environment;
    private final Path operatorFile; // null if the environment names none
    private final Log log;

    private ServeCommand(Map<String, String> environment, Log log) {
        this.environment = environment;
        this.operatorFile = BalancerConfigReader.operatorFile(environment);
        this.log = log;
    }

    /**
     * Runs a balancer until SIGTERM ends the process; returns early if the balancer cannot start.
     *
     * @return the exit code
     */
    public static int run(Map<String, String> environment) {
        ReloadSignal reloadSignal = ReloadSignal.install(); // first, because until then SIGHUP ends the process
        Slf4jProvider.install();
        Log log = Log.to(LoggerFactory.getLogger("load-balancer"));
        int exitCode = new ServeCommand(environment, log).run(reloadSignal);
        Slf4jProvider.writer().drain(ERROR_LINE_TIMEOUT_MILLIS);
        return exitCode;
    }

    private int run(ReloadSignal reloadSignal) {
        BalancerProcess process = create();
        if (process == null || !loadOperatorFile(process) || !listenForOperators(process)) {
            return EXIT_CANNOT_START;
        }
        InetSocketAddress address;
        try {
            address = process.start();
        } catch (IOException | RuntimeException e) { // a failed bind throws its own exception, checked or not
            log.info("can't listen on " + process.config().listen() + ": " + e.getMessage());
            return EXIT_CANNOT_START;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(process)));
        handleReloads(process, reloadSignal);
        // Logged last, because whoever reads the line may send signals at once.
        log.info("listening on " + address.getAddress().getHostAddress() + ":" + address.getPort());
        process.awaitStopped();
        return EXIT_OK;
    }

    private BalancerProcess create() {
        try {
            BalancerProcess.Platform platform = new BalancerProcess.Platform(
                    InheritedListener.find(environment), BalancerConfigReader.handoverDirectory(environment));
            return new BalancerProcess(BalancerConfigReader.read(environment), platform, JsqDasPolicy::new, true, log);
        } catch (ProcessConfigException | IOException e) {
            log.info(e.getMessage());
            return null;
        }
    }

    private boolean loadOperatorFile(BalancerProcess process) {
        return operatorFile == null || process.applyOperatorFile(operatorFile, true);
    }

    private boolean listenForOperators(BalancerProcess process) {
        if (process.config().admin() == null) {
            return true;
        }
        try {
            process.listenForOperators();
            return true;
        } catch (IOException | RuntimeException e) { // a failed bind throws its own exception, checked or not
            log.info("can't listen for operators on " + process.config().admin() + ": " + e.getMessage());
            return false;
        }
    }

    private void handleReloads(BalancerProcess process, ReloadSignal reloadSignal) {
        if (reloadSignal.unavailability() != null) {
            log.warn(reloadSignal.unavailability(), "sighup", "ignored");
        }
        reloadSignal.onEach(() -> {
            process.reload(() -> BalancerConfigReader.reread(environment));
            loadOperatorFile(process);
        });
    }

    private static void stop(BalancerProcess process) {
        process.stop();
        Slf4jProvider.writer().drain(LAST_LINES_TIMEOUT_MILLIS);
        // Without this the exit code would be that of the signal instead of EXIT_OK.
        Runtime.getRuntime().halt(EXIT_OK);
    }
}
