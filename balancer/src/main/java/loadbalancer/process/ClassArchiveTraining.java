package loadbalancer.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import loadbalancer.policy.JsqDasPolicy;

/**
 * Starts a balancer, lets it warm up and stops it. The build runs this once, so that the JVM archives the classes that
 * a start loads; without the archive, loading them takes about half of the time of a start.
 */
public final class ClassArchiveTraining {
    private static final long READY_TIMEOUT_MILLIS = TimeUnit.SECONDS.toMillis(30);
    private static final int EXIT_READY = 0;
    private static final int EXIT_NOT_READY = 1;

    private static final String CONFIG =
            """
        {"name": "dry", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "1", "settings": {
          "Balancers": 1, "Quantum": 5000, "MembershipMode": "ask",
          "Classes": [
            {"Name": "a", "Idempotency": "safe", "GoalTime": 600000, "GiveUp": 1200000},
            {"Name": "b", "Idempotency": "keyed", "GoalTime": 600000, "GiveUp": 1200000, "KeyTtl": 1000000},
            {"Name": "c", "Idempotency": "unsafe", "GoalTime": 600000, "GiveUp": 1200000}],
          "Limits": {"TryLimit": 3, "MayDuplicate": true, "Cancel": true, "Probes": true},
          "Rules": {"AnswerSlack": 20000, "DrainGrace": 1000000, "AskWithin": 10000000, "ColdFrom": 0.2,
            "RampTime": 20000000, "OverloadFactor": 2.5, "Fall": 1500000}},
         "known": {"rev": 0, "all": true, "targets": [{"uid": "s", "endpoint": "127.0.0.1:9",
            "state": "in_service"}]}}
        """;

    private ClassArchiveTraining() {}

    /** Runs the training. The exit code is 0 if the balancer became ready in time. */
    public static void main(String[] args) throws IOException, InterruptedException {
        ReloadSignal.install().onEach(() -> {}); // so that its classes are archived too
        BalancerProcess process = new BalancerProcess(readConfig(), JsqDasPolicy::new, true, line -> {});
        process.start();
        boolean ready = process.awaitReady(READY_TIMEOUT_MILLIS);
        process.stop();
        System.exit(ready ? EXIT_READY : EXIT_NOT_READY);
    }

    // Reads the configuration from a file, so that the classes that this loads are archived too.
    private static BalancerConfig readConfig() throws IOException {
        Path file = Files.createTempFile("class-archive-training", ".json");
        try {
            Files.writeString(file, CONFIG);
            return BalancerConfigReader.read(Map.of(BalancerConfigReader.CONFIG_FILE_VARIABLE, file.toString()));
        } finally {
            Files.delete(file);
        }
    }
}
