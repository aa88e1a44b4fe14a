package org.hornbeampass.cli;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.state.ErrorKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** Tests the story of a request from logs of several VMs. */
class ExplainCommandTest {
    @TempDir private Path mDirectory;

    private Path log(String name, String text) throws IOException {
        return Files.writeString(mDirectory.resolve(name), text);
    }

    @Test
    void decisions_comeInOrderWithWhatTheyRestedOn() throws IOException {
        Path one =
                log(
                        "vm-1.log",
                        """
                        {"at_ms":5,"kind":"config-in-force","version":3,"revision":8}
                        {"at_ms":6,"kind":"grant-taken","organisation":"org-1","free":70}
                        {"at_ms":7,"kind":"grant-taken","organisation":"org-2","free":9}
                        not JSON
                        {"at_ms":20,"kind":"ended","request":"q","organisation":"org-1"}
                        {"at_ms":21,"kind":"ended","request":"other","organisation":"org-1"}
                        """);
        Path two =
                log(
                        "vm-2.log",
                        """
                        10.1 front-2 {"at_ms":10,"kind":"upstream-lost","request":"q"}
                        {"at_ms":30,"kind":"config-in-force","version":4,"revision":9}
                        """);

        Run run = Run.in(Map.of(), "explain", "q", one.toString(), two.toString());

        assertThat(run.code()).isZero();
        assertThat(run.out().lines())
                .containsExactly(
                        "vm-1.log {\"at_ms\":5,\"kind\":\"config-in-force\",\"version\":3,"
                                + "\"revision\":8}",
                        "vm-1.log {\"at_ms\":6,\"kind\":\"grant-taken\","
                                + "\"organisation\":\"org-1\",\"free\":70}",
                        "front-2 {\"at_ms\":10,\"kind\":\"upstream-lost\",\"request\":\"q\"}",
                        "vm-1.log {\"at_ms\":20,\"kind\":\"ended\",\"request\":\"q\","
                                + "\"organisation\":\"org-1\"}");
    }

    @Test
    void unknownRequest_isSaid() throws IOException {
        Path one = log("vm-1.log", "{\"at_ms\":5,\"kind\":\"config-in-force\"}\n");

        Run run = Run.in(Map.of(), "explain", "q", one.toString());

        assertThat(run.code()).isEqualTo(ErrorKind.NOT_FOUND.exitCode());
        assertThat(run.err()).contains("no line names request q");
    }

    @Test
    void missingLog_isNamed() {
        Run run = Run.in(Map.of(), "explain", "q", mDirectory.resolve("none.log").toString());

        assertThat(run.code()).isEqualTo(ErrorKind.NOT_FOUND.exitCode());
        assertThat(run.err()).contains("none.log can't be read");
    }
}
