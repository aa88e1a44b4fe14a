package org.hornbeampass.cli;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.router.admin.KeyGenerator;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.UpstreamId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Tests the operators' whole path: command line, HTTP, API, configuration and ledger. */
class OperatorPathTest {
    private final RouterFixture mRouter = new RouterFixture();

    @AfterEach
    void closeRouter() {
        mRouter.close();
    }

    @Test
    void operator_createsTemplateOrganisationUpstream_topsUp_andReadsTheStatement() {
        done("template", "create", "desk", "--models", "flight-desk", "--priority", "7");
        Run created = done("organisation", "create", "flight", "--template", "desk");
        done(
                "upstream",
                "create",
                "runner-1",
                "--uri",
                "http://127.0.0.1:9001",
                "--model",
                "flight-desk",
                "--domain",
                "catania",
                "--region",
                "sicily");
        done("budget", "top-up", "flight", "main", "1000000", "--id", "invoice-1");
        done("budget", "top-up", "flight", "main", "1000000", "--id", "invoice-1");

        assertThat(done("statement", "flight").out())
                .isEqualTo(
                        """
                        BUDGET       PAID  BILLS  BILLED  SPENT  HELD  WRITTEN OFF  AVAILABLE
                        main    1,000,000      0       0      0     0            0  1,000,000
                        """);
        assertThat(done("revision", "--wait").out()).startsWith("newest 3, everywhere 3");
        assertThat(mRouter.configuration().organisations().get(new OrganisationId("flight")))
                .satisfies(
                        o ->
                                assertThat(o.keyHashes())
                                        .containsEntry("first", KeyGenerator.hash(key(created))));
        assertThat(mRouter.configuration().terms(new OrganisationId("flight")).get().priority())
                .isEqualTo(7);
    }

    @Test
    void operator_changesAndTakesBack() {
        done("template", "create", "desk", "--priority", "7");
        done("template", "create", "night", "--priority", "1");
        done("organisation", "create", "flight", "--template", "desk");
        done("organisation", "set", "flight", "--template", "night", "--max-concurrent", "9");
        done("template", "delete", "desk");
        done("organisation", "key", "add", "flight", "second");
        done("organisation", "key", "revoke", "flight", "first");
        done("budget", "create", "flight", "spare");
        done("budget", "set", "flight", "spare", "--paid", "500");
        done("budget", "lower", "flight", "spare", "--to", "0");
        done("budget", "delete", "flight", "spare");

        assertThat(done("organisation", "list").out())
                .isEqualTo(
                        """
                        ID      REVISION  TEMPLATE  BUDGETS  KEYS    OVERRIDES
                        flight         9  night     main     second  maxConcurrent=9
                        """);
        done("organisation", "delete", "flight");
        assertThat(mRouter.configuration().organisations()).isEmpty();
    }

    @Test
    void operator_drainsUpstreamAndRouter() {
        done(
                "upstream",
                "create",
                "runner-1",
                "--uri",
                "http://127.0.0.1:9001",
                "--model",
                "m",
                "--domain",
                "catania",
                "--region",
                "sicily");
        done("upstream", "drain", "runner-1");
        assertThat(draining()).isTrue();
        assertThat(done("upstream", "list").out())
                .containsPattern("(?m)STATE$")
                .containsPattern("(?m)^runner-1 +2 .* 256 +ignored +draining$");
        done("upstream", "set", "runner-1", "--draining", "false");
        assertThat(draining()).isFalse();

        assertThat(done("routers").out()).contains("vm-1~1  LIVE   127.0.0.1:8080  catania");
        assertThat(done("drain", "vm-1").out()).contains("inFlight  3");
        assertThat(mRouter.draining()).isTrue();
        assertThat(mRouter.run("drain", "vm-2").code()).isEqualTo(ErrorKind.NOT_FOUND.exitCode());
    }

    @Test
    void wrongKey_isRefused() {
        Run run = mRouter.run("template", "list", "--key-file", "/dev/null");
        Run other = mRouter.runWith(Map.of("HORNBEAM_KEY", "other"), "template", "list");

        assertThat(run.code()).isEqualTo(ExitCodes.USAGE);
        assertThat(other.code()).isEqualTo(ErrorKind.KEY_MISSING_OR_UNKNOWN.exitCode());
        assertThat(other.err()).doesNotContain("other\"");
    }

    @Test
    void storesOwnRules_areToldToTheOperator() {
        done("template", "create", "desk");
        done("organisation", "create", "flight", "--template", "desk");

        Run inUse = mRouter.run("template", "delete", "desk");
        Run unknown = mRouter.run("organisation", "set", "flight", "--template", "dusk");

        assertThat(inUse.code()).isEqualTo(ErrorKind.FIELD_INVALID.exitCode());
        assertThat(inUse.err()).contains("is used by flight");
        assertThat(unknown.err()).contains("template \"dusk\" is unknown; known are: desk");
    }

    private boolean draining() {
        return mRouter.configuration().upstreams().get(new UpstreamId("runner-1")).draining();
    }

    private Run done(String... arguments) {
        Run run = mRouter.run(arguments);
        assertThat(run.code()).as(run.err()).isZero();
        return run;
    }

    private static String key(Run run) {
        Matcher matcher = Pattern.compile("hp-[A-Za-z0-9_-]{43}").matcher(run.out());
        assertThat(matcher.find()).isTrue();
        return matcher.group();
    }
}
