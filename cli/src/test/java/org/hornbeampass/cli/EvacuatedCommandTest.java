package org.hornbeampass.cli;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** Tests the list of evacuated failure domains, from logs of several VMs. */
class EvacuatedCommandTest {
    @TempDir private Path mDirectory;

    private String log(String name, String text) throws IOException {
        return Files.writeString(mDirectory.resolve(name), text).toString();
    }

    @Test
    void evacuationsThatLast_areListedWithTheirVms() throws IOException {
        String one =
                log(
                        "vm-1.log",
                        """
                        {"at_ms":1000,"kind":"domain-evacuated","domain":"a","revision":7}
                        {"at_ms":1100,"kind":"domain-evacuated","domain":"b","revision":8}
                        {"at_ms":2000,"kind":"domain-restored","domain":"a","revision":9}
                        {"at_ms":3000,"kind":"ended","outcome":"answered"}
                        """);
        String two =
                log(
                        "vm-2.log",
                        """
                        {"at_ms":1150,"kind":"domain-evacuated","domain":"b","revision":8}
                        """);
        String restarted =
                log(
                        "vm-3.log",
                        """
                        {"at_ms":1200,"kind":"domain-evacuated","domain":"b","revision":8}
                        {"at_ms":1300,"kind":"started"}
                        """);
        Run run = Run.in(Map.of(), "evacuated", one, two, restarted);
        assertThat(run.code()).isZero();
        assertThat(run.out().strip()).isEqualTo("b  revision 8  for 1900 ms  at 2 of 3 VMs");
    }
}
