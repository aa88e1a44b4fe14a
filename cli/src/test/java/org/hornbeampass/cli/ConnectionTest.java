package org.hornbeampass.cli;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.protocol.admin.BudgetView;
import org.hornbeampass.protocol.admin.KeyCreated;
import org.hornbeampass.protocol.admin.TemplateList;
import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.OrganisationId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Tests servers, keys, repeats and failures of calls, through commands. */
class ConnectionTest {
    private static final String TEMPLATES = "GET /admin/v1/templates?limit=500";
    private static final String TOP_UP = "POST /admin/v1/organisations/o/budgets/b/top-up";
    private static final String CREATE = "POST /admin/v1/organisations/o";

    private final FakeServer mServer = new FakeServer();
    private final FakeServer mOther = new FakeServer();

    @AfterEach
    void closeServers() {
        mServer.close();
        mOther.close();
    }

    @Test
    void noServerOrKey_isAUsageError() {
        Run none = Run.in(Map.of("HORNBEAM_KEY", "k"), "routers");
        Run keyless = Run.in(Map.of("HORNBEAM_SERVER", mServer.url()), "routers");

        assertThat(none.code()).isEqualTo(ExitCodes.USAGE);
        assertThat(none.err()).contains("no server: give --server URL, or set HORNBEAM_SERVER");
        assertThat(keyless.code()).isEqualTo(ExitCodes.USAGE);
        assertThat(keyless.err()).contains("no key: give --key-file FILE");
    }

    @Test
    void serverThatIsNoAddress_isAUsageError() {
        Run run = Run.of(List.of("ftp://h/x"), "routers");

        assertThat(run.code()).isEqualTo(ExitCodes.USAGE);
        assertThat(run.err()).contains("server \"ftp://h/x\" is not an address");
    }

    @Test
    void keyFile_isRead_andItsContentNeverShown(@TempDir Path directory) throws IOException {
        Path file = Files.writeString(directory.resolve("key"), "two words\n");
        Run run =
                Run.in(
                        Map.of("HORNBEAM_SERVER", mServer.url()),
                        "routers",
                        "--key-file",
                        file.toString());

        assertThat(run.code()).isEqualTo(ExitCodes.USAGE);
        assertThat(run.err()).contains("does not hold a key").doesNotContain("two words");
    }

    @Test
    void deadServer_isPassedOverForTheNext() {
        mServer.close();
        mOther.answer(TEMPLATES, new TemplateList(List.of(), Optional.empty()));

        Run run = Run.of(List.of(mServer.url(), mOther.url()), "template", "list");

        assertThat(run.code()).isZero();
        assertThat(run.err()).contains(mServer.url() + " did not answer");
    }

    @Test
    void routerThatShutsDown_isPassedOverForTheNext() {
        mServer.refuse(TEMPLATES, ErrorKind.SHUTTING_DOWN, "this router is shutting down");
        mOther.answer(TEMPLATES, new TemplateList(List.of(), Optional.empty()));

        assertThat(Run.of(List.of(mServer.url(), mOther.url()), "template", "list").code())
                .isZero();
    }

    @Test
    void noServerAtAll_isTriedInRounds() {
        mServer.close();

        Run run = Run.of(mServer, "template", "list");

        assertThat(run.code()).isEqualTo(ErrorKind.NOT_READY.exitCode());
        assertThat(run.err()).contains("not_ready: no server answered").contains("check --server");
        assertThat(run.err().lines().filter(l -> l.contains("did not answer"))).hasSize(3);
    }

    @Test
    void topUpWithLostAnswer_isSentAgainWithTheSameId() {
        mServer.lose(TOP_UP)
                .answer(TOP_UP, BudgetView.empty(new OrganisationId("o"), new BudgetId("b")));

        Run run = Run.of(mServer, "budget", "top-up", "o", "b", "5");

        assertThat(run.code()).isZero();
        assertThat(mServer.requests())
                .containsExactly(
                        TOP_UP + " {\"id\":\"id-1\",\"tokens\":5}",
                        TOP_UP + " {\"id\":\"id-1\",\"tokens\":5}");
        assertThat(run.err()).contains("id id-1; with it the command is safe to repeat");
    }

    @Test
    void creationOfAKeyWithLostAnswer_isNotSentAgain() {
        mServer.lose(CREATE)
                .answer(CREATE, new KeyCreated(new OrganisationId("o"), "first", "hp-x", 2));

        Run run = Run.of(mServer, "organisation", "create", "o", "--template", "t");

        assertThat(run.code()).isEqualTo(ErrorKind.OUTCOME_UNKNOWN.exitCode());
        assertThat(run.err()).contains("it may have taken effect: look with `show`");
        assertThat(mServer.requests()).hasSize(1);
    }

    @Test
    void answerThatIsNoAdminAnswer_saysSo() {
        mServer.raw(TEMPLATES, 500, "<html>").raw(TEMPLATES, 200, "<html>");

        Run error = Run.of(mServer, "template", "list");
        Run success = Run.of(mServer, "template", "list");

        assertThat(error.code()).isEqualTo(ErrorKind.INTERNAL.exitCode());
        assertThat(error.err()).contains("is it a router's admin listener?");
        assertThat(success.code()).isEqualTo(ErrorKind.INTERNAL.exitCode());
        assertThat(success.err()).contains("not a TemplateList");
    }

    @Test
    void everyKindOfError_hasItsExitCode() {
        for (ErrorKind kind : ErrorKind.values()) {
            try (FakeServer server = new FakeServer()) {
                server.refuse("GET /admin/v1/audit", kind, "what is wrong");

                Run run = Run.of(server, "audit");

                assertThat(run.code()).as(kind.name()).isEqualTo(kind.exitCode());
                assertThat(run.err()).contains("what is wrong");
            }
        }
    }

    @Test
    void ageOfAnOldAnswer_isNotedOnStandardError() {
        mServer.answerAged(TEMPLATES, new TemplateList(List.of(), Optional.empty()), 65);

        Run run = Run.of(mServer, "template", "list", "--output", "json");

        assertThat(run.err()).contains("this is what " + mServer.url() + " knew 65 s ago");
        assertThat(run.out()).isEqualTo("{\n  \"items\" : [ ],\n  \"next\" : null\n}\n");
    }
}
