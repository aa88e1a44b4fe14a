package org.hornbeampass.cli;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.state.ErrorKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** Tests the table of what was lost, from logs of several VMs. */
class LossesCommandTest {
    @TempDir private Path mDirectory;

    private Path log(String name, String text) throws IOException {
        return Files.writeString(mDirectory.resolve(name), text);
    }

    @Test
    void lossesOfAllVms_areCountedByCauseAndTime() throws IOException {
        Path one =
                log(
                        "vm-1.log",
                        """
                        {"at_ms":1000,"kind":"ended","outcome":"answered"}
                        {"at_ms":1200,"kind":"ended","outcome":"budget_unreachable","wanted":9,\
                        "unallocated":100,"unspent":100,"store_lost":true}
                        {"at_ms":1300,"kind":"upstream-lost"}
                        not JSON
                        {"at_ms":6000,"kind":"ended","outcome":"budget_unreachable","wanted":9,\
                        "unallocated":0,"unspent":100,"store_lost":false}
                        """);
        Path two =
                log(
                        "vm-2.log",
                        """
                        10.1 front-2 {"at_ms":6100,"kind":"ended","outcome":"broken"}
                        10.2 front-2 {"at_ms":6200,"kind":"ended","outcome":"not_found"}
                        """);

        Run run = Run.in(Map.of(), "losses", one.toString(), two.toString());

        assertThat(run.code()).isZero();
        assertThat(run.out().lines().map(l -> l.replaceAll(" +", " ").strip()))
                .containsExactly(
                        "from second answered tokens, store lost tokens, all granted"
                                + " broken at upstream not allowed",
                        "0 1 1 0 0 0",
                        "4 0 0 1 1 1");
    }

    @Test
    void tokensThatTheStoreHad_areToldApart() throws IOException {
        Path one =
                log(
                        "vm-1.log",
                        """
                        {"at_ms":1,"kind":"ended","outcome":"budget_unreachable","wanted":9,\
                        "unallocated":50,"unspent":100,"store_lost":false}
                        """);

        Run run = Run.in(Map.of(), "losses", one.toString());

        assertThat(run.out()).containsIgnoringCase("tokens, not in time");
    }

    @Test
    void logsWithoutRequests_areSaid() throws IOException {
        Path one = log("vm-1.log", "{\"at_ms\":5,\"kind\":\"config-in-force\"}\n");

        Run run = Run.in(Map.of(), "losses", one.toString());

        assertThat(run.code()).isEqualTo(ErrorKind.NOT_FOUND.exitCode());
        assertThat(run.err()).contains("name no request");
    }

    @Test
    void spanOfNoLength_isRefused() {
        Run run = Run.in(Map.of(), "losses", "--span", "0");

        assertThat(run.code()).isEqualTo(ErrorKind.FIELD_INVALID.exitCode());
    }
}
