package loadbalancer;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Which package may know which: core is below the balancer, and the laboratory is never in it. */
class PackageDependenciesTest {
    private static final JavaClasses ALL = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("loadbalancer");

    @Test
    void decisionsKnowNothingOfTheBalancer() {
        noClasses()
                .that()
                .resideInAPackage("loadbalancer.policy..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "loadbalancer.http..",
                        "loadbalancer.transport..",
                        "loadbalancer.upstream..",
                        "loadbalancer.dispatch..",
                        "loadbalancer.routing..",
                        "loadbalancer.process..",
                        "loadbalancer.wire..",
                        "loadbalancer.admin..",
                        "loadbalancer.drain..",
                        "loadbalancer.handover..")
                .check(ALL);
    }

    @Test
    void theLaboratoryIsNotInTheBalancer() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAPackage("loadbalancer.simulator..")
                .check(ALL);
    }

    @Test
    void thePartsBelowTheNodeDontKnowIt() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "loadbalancer.admin..",
                        "loadbalancer.drain..",
                        "loadbalancer.handover..",
                        "loadbalancer.wire..",
                        "loadbalancer.operator..",
                        "loadbalancer.logs..",
                        "loadbalancer.toml..",
                        "loadbalancer.discovery..",
                        "loadbalancer.settings..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "loadbalancer.http..",
                        "loadbalancer.transport..",
                        "loadbalancer.upstream..",
                        "loadbalancer.dispatch..",
                        "loadbalancer.routing..",
                        "loadbalancer.process..")
                .check(ALL);
    }

    @Test
    void layersFromProcessToTransportDependInOneDirection() {
        layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .layer("process")
                .definedBy("loadbalancer.process..")
                .layer("http")
                .definedBy("loadbalancer.http..")
                .layer("routing")
                .definedBy("loadbalancer.routing..")
                .layer("dispatch")
                .definedBy("loadbalancer.dispatch..")
                .layer("upstream")
                .definedBy("loadbalancer.upstream..")
                .layer("transport")
                .definedBy("loadbalancer.transport..")
                .whereLayer("http")
                .mayOnlyBeAccessedByLayers("process")
                .whereLayer("routing")
                .mayOnlyBeAccessedByLayers("process")
                .whereLayer("dispatch")
                .mayOnlyBeAccessedByLayers("process", "http", "routing")
                .whereLayer("upstream")
                .mayOnlyBeAccessedByLayers("process", "routing", "dispatch")
                .check(ALL);
    }
}
