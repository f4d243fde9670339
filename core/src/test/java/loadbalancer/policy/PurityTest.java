package loadbalancer.policy;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition;
import org.junit.jupiter.api.Test;

/** Checks that the module core uses no sockets, files, threads or clocks, and depends on no other module. */
class PurityTest {
    private static final JavaClasses CORE = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("loadbalancer");

    @Test
    void coreUsesNoSocketsFilesOrThreads() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.net..",
                        "java.io..",
                        "java.nio..",
                        "java.util.concurrent..",
                        "javax..",
                        "java.time..",
                        "java.util.logging..")
                .orShould()
                .dependOnClassesThat()
                .belongToAnyOf(Thread.class, Runtime.class, ProcessBuilder.class)
                .check(CORE);
    }

    @Test
    void timeAndRandomnessComeFromTheCaller() {
        noClasses()
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(Math.class, "random")
                .orShould()
                .callConstructor(java.util.Random.class)
                .orShould()
                .callConstructor(java.util.SplittableRandom.class)
                .check(CORE);
    }

    @Test
    void coreDependsOnlyOnTheJdkAndItself() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideOutsideOfPackages("java..", "loadbalancer..")
                .check(CORE);
    }

    @Test
    void packagesOfCoreDoNotDependOnEachOther() {
        SlicesRuleDefinition.slices()
                .matching("loadbalancer.(*)..")
                .should()
                .notDependOnEachOther()
                .ignoreDependency(
                        resideInAPackage("loadbalancer.router"),
                        resideInAnyPackage("loadbalancer.routes", "loadbalancer.limits"))
                .check(CORE);
    }
}
