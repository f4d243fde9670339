package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The configuration that an operator file is checked against. */
class OperatorFileLoaderTest {
    @TempDir
    Path directory;

    @Test
    void settingsThatAreNotAnObjectAreAnErrorOfOneLine() throws IOException {
        Path config = Files.writeString(directory.resolve("config.json"), "{\"settings\": 1}");
        IllegalArgumentException error =
                assertThrows(IllegalArgumentException.class, () -> OperatorFileLoader.site(config));
        assertEquals("the configuration has no settings object", error.getMessage());
    }
}
