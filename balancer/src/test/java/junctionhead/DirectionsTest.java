package junctionhead;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Which package may know which: core is below the balancer, and the laboratory is never in it. */
class DirectionsTest {
    private static final JavaClasses ALL = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("junctionhead");

    @Test
    void decisionsKnowNothingOfTheBalancer() {
        noClasses()
                .that()
                .resideInAPackage("junctionhead.policy..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "junctionhead.net..",
                        "junctionhead.wire..",
                        "junctionhead.admin..",
                        "junctionhead.drain..",
                        "junctionhead.handover..")
                .check(ALL);
    }

    @Test
    void theLaboratoryIsNotInTheBalancer() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAPackage("junctionhead.lab..")
                .check(ALL);
    }

    @Test
    void thePartsBelowTheNodeDontKnowIt() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "junctionhead.admin..",
                        "junctionhead.drain..",
                        "junctionhead.handover..",
                        "junctionhead.wire..",
                        "junctionhead.operator..",
                        "junctionhead.logs..",
                        "junctionhead.toml..",
                        "junctionhead.discovery..",
                        "junctionhead.settings..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("junctionhead.net..")
                .check(ALL);
    }
}
