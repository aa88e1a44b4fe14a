package org.hornbeampass.cli;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.coordination.slo.BurnWindows;
import org.hornbeampass.coordination.slo.Objectives;
import org.hornbeampass.coordination.slo.SloSample;
import org.hornbeampass.protocol.admin.RouterList;
import org.hornbeampass.protocol.admin.RouterView;
import org.hornbeampass.protocol.admin.SloView;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.UpstreamId;
import org.hornbeampass.state.VmId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** Tests the burn report over two routers. */
class BurnCommandTest {
    private static final long NOW_MS = 1_000 * 3_600_000L;
    private static final String SLO = "GET /admin/v1/slo";

    private final FakeServer mFirst = new FakeServer();
    private final FakeServer mSecond = new FakeServer();

    @AfterEach
    void closeServers() {
        mFirst.close();
        mSecond.close();
    }

    @Test
    void burn_addsRoutersUp_andNamesWhatBurned() {
        answer(mFirst, "vm-1", 480, 20);
        answer(mSecond, "vm-2", 500, 0);

        Run run = Run.of(List.of(mFirst.url(), mSecond.url()), "burn", "--organisation", "flight");

        assertThat(run.code()).isZero();
        assertThat(run.out().lines().map(line -> line.strip().replaceAll(" +", " ")))
                .containsExactly(
                        "SCOPE OBJECTIVE TARGET 5m 30m 1h 6h 3d LEFT BAD LEFT ALERT",
                        "flight first token <= 890 ms 95.0% 0.0 0.0 0.0 0.0 0.0 100.0% 49",
                        "flight refusals 99.9% 0.0 0.0 0.0 0.0 0.0 100.0% 1",
                        "flight errors 99.9% 20.0 20.0 20.0 20.0 20.0 -1900.0% -19 PAGE FAST",
                        "",
                        "BURNED IN 1h OBJECTIVE ORGANISATION ERROR UPSTREAM DOMAIN",
                        "20 errors flight upstream_failed runner-1 catania");
    }

    @Test
    void burn_namesRoutersThatWereNotAsked() {
        answer(mFirst, "vm-1", 1, 0);

        assertThat(Run.of(mFirst, "burn").err())
                .contains("not counted, since no --server names them: vm-2")
                .contains("longer windows are not full");
    }

    @Test
    void burn_failsOnAlertWhereAsked_andGoesOnWithoutADeadRouter() {
        answer(mFirst, "vm-1", 0, 5);
        mSecond.close();

        Run run = Run.of(List.of(mSecond.url(), mFirst.url()), "burn", "--fail-on-alert");

        assertThat(run.code()).isEqualTo(ExitCodes.FINDINGS);
        assertThat(run.err()).contains(mSecond.url() + " did not answer");
    }

    @Test
    void burn_writesAPageWithPlots(@TempDir Path directory) throws IOException {
        answer(mFirst, "vm-1", 5, 5);
        Path page = directory.resolve("burn.html");

        assertThat(Run.of(mFirst, "burn", "--html", page.toString()).code()).isZero();

        assertThat(Files.readString(page))
                .contains("data:image/png;base64,iVBOR")
                .contains("first token &lt;= 890 ms");
    }

    @Test
    void burn_asJson_carriesRates() {
        answer(mFirst, "vm-1", 0, 5);

        assertThat(Run.of(mFirst, "burn", "--output", "json").out())
                .contains("\"alert\" : \"PAGE_FAST\"")
                .contains("\"M5\" : 1000.0");
    }

    private static void answer(FakeServer server, String vm, int good, int bad) {
        BurnWindows windows = new BurnWindows(NOW_MS, Objectives.defaults());
        for (int i = 0; i < good + bad; i++) {
            windows.record(
                    NOW_MS,
                    new SloSample(
                            new OrganisationId("flight"),
                            i < good ? OptionalLong.of(100) : OptionalLong.empty(),
                            OptionalLong.empty(),
                            i < good ? Optional.empty() : Optional.of(ErrorKind.UPSTREAM_FAILED),
                            Optional.of(new UpstreamId("runner-1")),
                            Optional.of(new FailureDomain("catania"))));
        }
        server.answer(SLO, new SloView(new VmId(vm, 1), NOW_MS, windows.report(NOW_MS)));
        server.answer(
                "GET /admin/v1/routers",
                new RouterList(new VmId(vm, 1), List.of(router("vm-1"), router("vm-2"))));
    }

    private static RouterView router(String name) {
        return new RouterView(
                new VmId(name, 1),
                "LIVE",
                "127.0.0.1:8080",
                new FailureDomain("a"),
                new Region("r"),
                3);
    }
}
