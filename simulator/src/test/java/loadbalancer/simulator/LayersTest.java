package loadbalancer.simulator;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Which part of the laboratory may know which. */
class LayersTest {
    private static final JavaClasses LAB = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("loadbalancer.simulator");

    @Test
    void packagesFormNoCycles() {
        slices().matching("loadbalancer.simulator.(*)..")
                .should()
                .beFreeOfCycles()
                .check(LAB);
    }

    @Test
    void worldsKnowPoliciesByTheirInterfaceOnlyAndNeverTheBalancer() {
        noClasses()
                .that()
                .resideInAnyPackage("..lab.sim..", "..lab.world..", "..lab.judge..")
                .should()
                .dependOnClassesThat()
                .haveFullyQualifiedName("loadbalancer.policy.JsqDasPolicy")
                .check(LAB);
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "loadbalancer.http..",
                        "loadbalancer.upstream..",
                        "loadbalancer.dispatch..",
                        "loadbalancer.routing..",
                        "loadbalancer.process..",
                        "loadbalancer.wire..")
                .check(LAB);
    }

    @Test
    void simulatedTimeIsTheOnlyClock() {
        noClasses()
                .that()
                .resideInAnyPackage("..lab.sim..", "..lab.world..", "..lab.variants..", "..lab.policies..")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .dependOnClassesThat()
                .belongToAnyOf(java.util.Random.class, Thread.class)
                .check(LAB);
    }
}
