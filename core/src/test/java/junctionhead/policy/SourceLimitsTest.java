package junctionhead.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

class SourceLimitsTest {
    @Test
    void theModuleStaysWithinTheOperatorsLimit() throws IOException {
        long lines = Files.readAllLines(Path.of("src/main/java/junctionhead/policy/Balance.java")).stream()
            .filter(line -> !line.isBlank()).count();
        assertTrue(lines <= 1199, "Balance.java holds " + lines + " non-blank lines, 1199 at most");
    }
}
