package loadbalancer;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/**
 * Checks which packages may depend on which: core does not depend on the balancer, and nothing that the balancer
 * contains depends on the simulator.
 */
class PackageDependenciesTest {
    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("loadbalancer");

    @Test
    void thePolicyDoesNotDependOnTheBalancer() {
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
                .check(CLASSES);
    }

    @Test
    void nothingDependsOnTheSimulator() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAPackage("loadbalancer.simulator..")
                .check(CLASSES);
    }

    @Test
    void supportingPackagesDoNotDependOnRequestHandling() {
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
                .check(CLASSES);
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
                .check(CLASSES);
    }
}
