package loadbalancer.testing;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.extension.ConditionEvaluationResult;
import org.junit.jupiter.api.extension.ExecutionCondition;
import org.junit.jupiter.api.extension.ExtensionContext;

/**
 * Passes over exactly the tests that KNOWN-RED.txt at the root of the repository lists, and prints each of them.
 *
 * <p>An entry is a line of the form {@code TestClass.method | ...} or, for one invocation of a parameterized test,
 * {@code TestClass.method[N] | ...}. Lines that begin with {@code #} and empty lines are comments. JUnit finds this
 * class as a service and asks it before each test.
 */
public final class KnownRedCondition implements ExecutionCondition {
    private static final String FILE = "KNOWN-RED.txt";
    private static final ConditionEvaluationResult ENABLED = ConditionEvaluationResult.enabled(null);

    private final List<String> entries = readEntries();

    /** Made by JUnit. */
    public KnownRedCondition() {}

    @Override
    public ConditionEvaluationResult evaluateExecutionCondition(ExtensionContext context) {
        if (entries.isEmpty() || context.getTestMethod().isEmpty()) {
            return ENABLED;
        }
        String test = context.getRequiredTestClass().getSimpleName() + "."
                + context.getRequiredTestMethod().getName();
        String invocation = test + invocationNumber(context.getDisplayName());
        for (String entry : entries) {
            String name = entry.split("\\|", 2)[0].strip();
            if (name.equals(test) || name.equals(invocation)) {
                System.out.println(FILE + ", passed over: " + entry);
                return ConditionEvaluationResult.disabled(entry);
            }
        }
        return ENABLED;
    }

    // "[12] some arguments" gives "[12]"; the name of a test that isn't parameterized gives nothing.
    private static String invocationNumber(String displayName) {
        return displayName.matches("(?s)\\[\\d+].*") ? displayName.substring(0, displayName.indexOf(']') + 1) : "";
    }

    private static List<String> readEntries() {
        Path file = Path.of("").toAbsolutePath().getParent().resolve(FILE);
        try {
            return Files.exists(file)
                    ? Files.readAllLines(file).stream()
                            .filter(line -> !line.isBlank() && !line.startsWith("#"))
                            .toList()
                    : List.of();
        } catch (IOException e) {
            throw new UncheckedIOException(file + " can't be read", e);
        }
    }
}
