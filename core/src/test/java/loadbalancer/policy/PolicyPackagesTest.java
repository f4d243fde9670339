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

/**
 * Checks that the key {@code policy} of the deploy file names every class that takes part in a decision, and that the
 * packages of these classes are pure.
 */
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
        for (JavaClass decidingClass : reachableFrom(CORE.get(JsqDasPolicy.class))) {
            if (!named.contains(sourceFile(decidingClass))) {
                missing.add(decidingClass.getName());
            }
        }
        for (JavaClass classInPackage : CORE) {
            if (packages.contains(classInPackage.getPackageName()) && !named.contains(sourceFile(classInPackage))) {
                missing.add(classInPackage.getName());
            }
        }
        missing.removeIf(name -> name.endsWith("package-info"));
        assertEquals(Set.of(), missing, "classes that take part in decisions but are missing in `policy`");
    }

    @Test
    void thePackagesOfTheDeployFileArePure() throws IOException {
        Set<String> named = namedPackages();
        DescribedPredicate<JavaClass> inNamed =
                DescribedPredicate.describe("in " + named, javaClass -> named.contains(javaClass.getPackageName()));
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

    // The files that the key `policy` of the deploy file names; each of them must exist.
    private static Set<String> namedFiles() throws IOException {
        Path root = Path.of("").toAbsolutePath().getParent();
        Matcher key = Pattern.compile("(?m)^policy = \\[(.*?)]")
                .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        assertTrue(key.find(), "the deploy file has no key `policy`");
        Set<String> files = new TreeSet<>();
        Matcher entry = Pattern.compile("\"([^\"]+)\"").matcher(key.group(1));
        while (entry.find()) {
            String file = entry.group(1);
            assertTrue(
                    file.startsWith(SOURCES) && Files.isRegularFile(root.resolve(file)),
                    "not a source file of core: " + file);
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
        Deque<JavaClass> pending = new ArrayDeque<>(Set.of(start));
        while (!pending.isEmpty()) {
            JavaClass reached = pending.pop();
            if (reached.getName().startsWith("loadbalancer.") && found.add(reached)) {
                reached.getDirectDependenciesFromSelf().stream()
                        .map(Dependency::getTargetClass)
                        .forEach(pending::push);
            }
        }
        return found;
    }
}
