package loadbalancer.policy;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.Dependency;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** What {@code policy} in the deploy file names holds every class that takes part in a decision, and only pure ones. */
class PolicyPackagesTest {
    private static final String SOURCES = "core/src/main/java/";
    private static final JavaClasses CORE = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("loadbalancer");

    @Test
    void theDeployFileNamesTheSourceOfEachClassThatDecides() throws IOException {
        Set<String> named = namedFiles();
        Set<String> packages = namedPackages();
        Set<String> missing = new TreeSet<>();
        for (JavaClass decides : reachableFrom(CORE.get(JsqDasPolicy.class))) {
            if (!named.contains(sourceFile(decides))) {
                missing.add(decides.getName());
            }
        }
        for (JavaClass inPackage : CORE) {
            if (packages.contains(inPackage.getPackageName()) && !named.contains(sourceFile(inPackage))) {
                missing.add(inPackage.getName());
            }
        }
        missing.removeIf(name -> name.endsWith("package-info"));
        assertEquals(Set.of(), missing, "classes that decide and that `policy` does not name");
    }

    @Test
    void thePackagesOfTheDeployFileArePure() throws IOException {
        Set<String> named = namedPackages();
        DescribedPredicate<JavaClass> inNamed =
                DescribedPredicate.describe("in " + named, c -> named.contains(c.getPackageName()));
        noClasses()
                .that(inNamed)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.net..",
                        "java.io..",
                        "java.nio..",
                        "java.util.concurrent..",
                        "javax..",
                        "java.time..",
                        "java.util.logging..",
                        "io.netty..",
                        "org.slf4j..")
                .orShould()
                .dependOnClassesThat()
                .belongToAnyOf(Thread.class, Runtime.class, ProcessBuilder.class)
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(CORE);
    }

    // Files of the deploy file's key `policy`; each of them must be there.
    private static Set<String> namedFiles() throws IOException {
        Path root = Path.of("").toAbsolutePath().getParent();
        Matcher key = Pattern.compile("(?m)^policy = \\[(.*?)]")
                .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        assertTrue(key.find(), "the deploy file names no policy");
        Set<String> files = new TreeSet<>();
        Matcher entry = Pattern.compile("\"([^\"]+)\"").matcher(key.group(1));
        while (entry.find()) {
            String file = entry.group(1);
            assertTrue(
                    file.startsWith(SOURCES) && Files.isRegularFile(root.resolve(file)), "no source of core: " + file);
            files.add(file);
        }
        assertFalse(files.isEmpty());
        return files;
    }

    private static Set<String> namedPackages() throws IOException {
        Set<String> packages = new TreeSet<>();
        for (String file : namedFiles()) {
            packages.add(file.substring(SOURCES.length(), file.lastIndexOf('/')).replace('/', '.'));
        }
        return packages;
    }

    private static String sourceFile(JavaClass javaClass) {
        String outermost = javaClass.getName().replaceFirst("\\$.*", "");
        return SOURCES + outermost.replace('.', '/') + ".java";
    }

    private static Set<JavaClass> reachableFrom(JavaClass start) {
        Set<JavaClass> found = new HashSet<>();
        Deque<JavaClass> next = new ArrayDeque<>(Set.of(start));
        while (!next.isEmpty()) {
            JavaClass reached = next.pop();
            if (reached.getName().startsWith("loadbalancer.") && found.add(reached)) {
                reached.getDirectDependenciesFromSelf().stream()
                        .map(Dependency::getTargetClass)
                        .forEach(next::push);
            }
        }
        return found;
    }
}
