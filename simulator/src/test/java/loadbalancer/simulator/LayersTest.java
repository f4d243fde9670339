package loadbalancer.simulator;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Which package of the simulator may know which. */
class LayersTest {
    private static final JavaClasses SIMULATOR = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("loadbalancer.simulator");

    @Test
    void packagesFormNoCycles() {
        slices().matching("loadbalancer.simulator.(*)..")
                .should()
                .beFreeOfCycles()
                .check(SIMULATOR);
    }

    @Test
    void worldsKnowPoliciesByTheirInterfaceOnlyAndNeverTheBalancer() {
        noClasses()
                .that()
                .resideInAnyPackage("..simulator.engine..", "..simulator.world..", "..simulator.rules..")
                .should()
                .dependOnClassesThat()
                .haveFullyQualifiedName("loadbalancer.policy.JsqDasPolicy")
                .check(SIMULATOR);
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "loadbalancer.http..",
                        "loadbalancer.transport..",
                        "loadbalancer.upstream..",
                        "loadbalancer.dispatch..",
                        "loadbalancer.routing..",
                        "loadbalancer.process..",
                        "loadbalancer.wire..")
                .check(SIMULATOR);
    }

    @Test
    void simulatedTimeIsTheOnlyClock() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "..simulator.engine..",
                        "..simulator.world..",
                        "..simulator.variants..",
                        "..simulator.policies..")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .dependOnClassesThat()
                .belongToAnyOf(java.util.Random.class, Thread.class)
                .check(SIMULATOR);
    }
}
