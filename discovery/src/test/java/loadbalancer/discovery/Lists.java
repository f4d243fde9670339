package loadbalancer.discovery;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import loadbalancer.settings.BootSettings;
import loadbalancer.settings.SettingsReader;

/** Endpoint lists in discovery's format, and settings, for tests. */
final class Lists {
    private Lists() {}

    static BootSettings boot() {
        Map<String, String> values = new HashMap<>();
        SettingsReader.flatten(
                "",
                Map.of(
                        "Balancers",
                        8,
                        "Rank",
                        3,
                        "Quantum",
                        5_000,
                        "MembershipMode",
                        "push",
                        "Areas",
                        List.of("a", "b"),
                        "Kinds",
                        List.of("m1", "m2"),
                        "Classes",
                        List.of(Map.of("Name", "x", "Idempotency", "safe", "GoalTime", 1_000, "GiveUp", 2_000)),
                        "Limits",
                        Map.of("TryLimit", 3, "MayDuplicate", false, "Cancel", true, "Probes", false),
                        "Rules",
                        Map.of(
                                "AnswerSlack",
                                1,
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
                                2_000_000)),
                values);
        return SettingsReader.read(values, (path, problem) -> new IllegalStateException(path + ": " + problem));
    }

    static String entry(int number, String state) {
        return "{\"uid\":\"s-" + number + "\",\"endpoint\":\"127.0.0.1:" + (1_000 + number % 60_000)
                + "\",\"az\":\"b\",\"model\":\"m2\",\"pod_group\":" + number / 4 + ",\"state\":\"" + state
                + "\",\"capacity_hint\":1.5,\"boot_ms\":7}";
    }

    /** A list of the endpoints numbered {@code from} to {@code to - 1}. */
    static String list(int rev, boolean all, int from, int to, String state) {
        return "{\"rev\":" + rev + ",\"all\":" + all + ",\"targets\":["
                + IntStream.range(from, to).mapToObj(i -> entry(i, state)).collect(Collectors.joining(",")) + "]}\n";
    }

    /** Reads one list in pieces of {@code pieceBytes}; null if it does not end. */
    static EndpointList read(EndpointSubset subset, String text, int pieceBytes) {
        EndpointList[] found = new EndpointList[1];
        ListReader reader = new ListReader(Lists::boot, subset);
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        for (int i = 0; i < bytes.length; i += pieceBytes) {
            reader.read(
                    java.util.Arrays.copyOfRange(bytes, i, Math.min(bytes.length, i + pieceBytes)),
                    list -> found[0] = list);
        }
        return found[0];
    }
}
