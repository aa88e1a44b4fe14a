package org.hornbeampass;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;

import org.junit.jupiter.api.Test;

/** Checks that the library respects its layers and uses no threads, sockets or system clock. */
class LayersTest {
    private static final JavaClasses CLASSES =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages("org.hornbeampass");

    @Test
    void state_isBelowCoordination() {
        layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .layer("state")
                .definedBy("org.hornbeampass.state..")
                .layer("coordination")
                .definedBy("org.hornbeampass.coordination..")
                .whereLayer("coordination")
                .mayNotBeAccessedByAnyLayer()
                .check(CLASSES);
    }

    @Test
    void library_readsNoClock() {
        ArchRuleDefinition.noClasses()
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(java.time.Instant.class, "now")
                .check(CLASSES);
    }

    @Test
    void library_hasNoThreadsAndNoSockets() {
        ArchRuleDefinition.noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.net..", "java.nio.channels..", "io.netty..")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(java.util.concurrent.Executor.class)
                .check(CLASSES);
    }
}
