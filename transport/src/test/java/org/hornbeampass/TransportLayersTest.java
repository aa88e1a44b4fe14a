package org.hornbeampass;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;

import org.junit.jupiter.api.Test;

/** Holds this module to its layers, and the protocol layer to having no sockets. */
class TransportLayersTest {
    private static final JavaClasses CLASSES =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages("org.hornbeampass");

    @Test
    void transport_isAboveProtocol_aboveCoordination_aboveState() {
        layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .layer("state")
                .definedBy("org.hornbeampass.state..")
                .layer("coordination")
                .definedBy("org.hornbeampass.coordination..")
                .layer("protocol")
                .definedBy("org.hornbeampass.protocol..")
                .layer("transport")
                .definedBy("org.hornbeampass.transport..")
                .whereLayer("transport")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("protocol")
                .mayOnlyBeAccessedByLayers("transport")
                .whereLayer("coordination")
                .mayOnlyBeAccessedByLayers("protocol", "transport")
                .check(CLASSES);
    }

    @Test
    void protocol_hasNoSocketsAndNoThreads() {
        ArchRuleDefinition.noClasses()
                .that()
                .resideInAPackage("org.hornbeampass.protocol..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "io.netty.channel..", "io.netty.handler..", "java.nio.channels..")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(java.util.concurrent.Executor.class)
                .check(CLASSES);
    }

    @Test
    void nothing_usesIoUringOrEpoll() {
        ArchRuleDefinition.noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("io.netty.channel.uring..", "io.netty.channel.epoll..")
                .check(CLASSES);
    }
}
