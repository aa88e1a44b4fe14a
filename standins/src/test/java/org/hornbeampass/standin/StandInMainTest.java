package org.hornbeampass.standin;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.standin.admin.TestHttp;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import java.io.BufferedReader;
import java.io.PipedReader;
import java.io.PipedWriter;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.concurrent.CompletableFuture;

/** Tests {@link StandInMain}. */
@Timeout(60)
class StandInMainTest {
    private final StandInMain mMain = new StandInMain();

    @ParameterizedTest
    @CsvSource({"platform,/admin/counts", "engine,/v1/models", "service,/admin/verdict"})
    void run_printsItsAddressAndServesUntilStopped(String kind, String path) throws Exception {
        try (PipedReader pipe = new PipedReader();
                BufferedReader lines = new BufferedReader(pipe);
                TestHttp http = new TestHttp()) {
            mMain.command().setOut(new PrintWriter(new PipedWriter(pipe), true));
            CompletableFuture<Integer> exit =
                    CompletableFuture.supplyAsync(() -> mMain.run(kind, "--listen=127.0.0.1:0"));

            assertThat(http.call("GET", lines.readLine() + path, "").status()).isEqualTo(200);
            mMain.stop();
            assertThat(exit.get()).isZero();
        }
    }

    @Test
    void run_withUnknownSetting_saysWhich() {
        StringWriter err = new StringWriter();
        mMain.command().setErr(new PrintWriter(err, true));

        assertThat(mMain.run("service", "--set={\"replyMss\": 1}")).isNotZero();
        assertThat(err.toString()).contains("replyMss");
    }
}
