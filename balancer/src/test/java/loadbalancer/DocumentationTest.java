package loadbalancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that the documentation for developers names only types that exist. */
class DocumentationTest {
    private static final Path ROOT = Path.of("").toAbsolutePath().getParent();
    private static final Pattern TYPE_NAME = Pattern.compile("`([A-Z][a-z]+(?:[A-Z]\\w*)+)(?:\\.java)?`");
    private static final Pattern DECLARATION = Pattern.compile("\\b(?:class|record|interface|enum) (\\w+)");

    /** Names of the platform's settings that the pages mention in the same format as types. */
    private static final Set<String> SETTINGS = Set.of(
            "AllowancePerS",
            "AskWithin",
            "ColdFrom",
            "DrainGrace",
            "GiveUp",
            "GoalTime",
            "IdleClose",
            "InOrder",
            "KeyTtl",
            "OverShareWorth",
            "OverloadFactor",
            "RampTime",
            "WorthBy");

    @ParameterizedTest
    @ValueSource(
            strings = {
                "README.md",
                "DEVELOPERS.md",
                "docs/architecture.md",
                "docs/design.md",
                "docs/design/routes-and-limits.md",
                "docs/design/wreck.md",
                "docs/fleet-test.md",
                "docs/glossary.md",
                "docs/open.md",
                "docs/overload.md",
                "docs/ROADMAP.md"
            })
    void pagesNameOnlyExistingTypes(String page) throws IOException {
        Set<String> unknown = new TreeSet<>();
        Matcher name = TYPE_NAME.matcher(Files.readString(ROOT.resolve(page)));
        Set<String> types = declaredTypes();
        while (name.find()) {
            if (!types.contains(name.group(1)) && !SETTINGS.contains(name.group(1))) {
                unknown.add(name.group(1));
            }
        }
        assertEquals(Set.of(), unknown, page);
    }

    private static Set<String> declaredTypes() throws IOException {
        Set<String> types = new TreeSet<>();
        try (Stream<Path> files = Files.walk(ROOT)) {
            for (Path file :
                    files.filter(path -> path.toString().endsWith(".java")).toList()) {
                Matcher declaration = DECLARATION.matcher(Files.readString(file));
                while (declaration.find()) {
                    types.add(declaration.group(1));
                }
            }
        }
        assertTrue(types.contains("JsqDasPolicy"), "no sources found below " + ROOT);
        return types;
    }
}
