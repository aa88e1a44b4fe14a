package org.hornbeampass.cli;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.protocol.admin.AuditView;
import org.hornbeampass.protocol.admin.BillList;
import org.hornbeampass.protocol.admin.BillView;
import org.hornbeampass.protocol.admin.BudgetList;
import org.hornbeampass.protocol.admin.BudgetView;
import org.hornbeampass.protocol.admin.Changed;
import org.hornbeampass.protocol.admin.Drained;
import org.hornbeampass.protocol.admin.KeyCreated;
import org.hornbeampass.protocol.admin.RouterList;
import org.hornbeampass.protocol.admin.RouterView;
import org.hornbeampass.protocol.admin.StatementView;
import org.hornbeampass.protocol.admin.TemplateView;
import org.hornbeampass.protocol.admin.UsageLine;
import org.hornbeampass.protocol.admin.UsageView;
import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.RequestId;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.config.Parameters;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** Tests what commands send and print. */
class CommandsTest {
    private static final String DESK = " /admin/v1/templates/desk";
    private static final OrganisationId ORGANISATION = new OrganisationId("flight");

    private final FakeServer mServer = new FakeServer();

    @AfterEach
    void closeServer() {
        mServer.close();
    }

    @Test
    void templateCreate_sendsWhatOptionsSet() {
        mServer.answer("PUT" + DESK, new Changed("desk", 1));

        Run run = run("template", "create", "desk", "--models", "m", "--priority", "7");

        assertThat(run.code()).isZero();
        assertThat(run.out()).isEqualTo("FIELD     VALUE\nname      desk\nrevision  1\n");
        assertThat(mServer.requests().get(0))
                .startsWith("PUT" + DESK + " If-None-Match:* ")
                .contains("\"models\":[\"m\"]")
                .contains("\"priority\":7")
                .contains("\"adapters\":null");
    }

    @Test
    void templateCreate_thatFindsItsOwnValue_hasSucceeded() {
        mServer.refuse("PUT" + DESK, ErrorKind.ALREADY_EXISTS, "exists")
                .answer("GET" + DESK, new TemplateView("desk", 4, priority(7)));

        assertThat(run("template", "create", "desk", "--priority", "7").code()).isZero();
        assertThat(run("template", "create", "desk", "--priority", "6").code())
                .isEqualTo(ErrorKind.ALREADY_EXISTS.exitCode());
    }

    @Test
    void templateSet_changesOnlyWhatIsNamed_atTheRevisionRead() {
        mServer.answer("GET" + DESK, new TemplateView("desk", 4, priority(7)))
                .answer("PUT" + DESK, new Changed("desk", 5));

        run("template", "set", "desk", "--max-concurrent", "20");
        run("template", "set", "desk", "--unset", "priority", "--if-revision", "3");

        assertThat(mServer.requests().get(1))
                .startsWith("PUT" + DESK + " If-Match:4 ")
                .contains("\"priority\":7")
                .contains("\"maxConcurrent\":20");
        assertThat(mServer.requests().get(3))
                .startsWith("PUT" + DESK + " If-Match:3 ")
                .contains("\"priority\":null");
    }

    @Test
    void templateSet_ofWhatIsThere_sendsNothing() {
        mServer.answer("GET" + DESK, new TemplateView("desk", 4, priority(7)));

        Run run = run("template", "set", "desk", "--priority", "7");

        assertThat(run.code()).isZero();
        assertThat(run.err()).contains("nothing to change");
        assertThat(mServer.requests()).hasSize(1);
    }

    @Test
    void templateSet_thatLosesARace_printsBothValuesAndHowToRetry() {
        mServer.answer("GET" + DESK, new TemplateView("desk", 4, priority(5)))
                .answer("GET" + DESK, new TemplateView("desk", 6, priority(9)))
                .refuse("PUT" + DESK, ErrorKind.REVISION_CONFLICT, "desk is at revision 6");

        Run run = run("template", "set", "desk", "--priority", "7");

        assertThat(run.code()).isEqualTo(ErrorKind.REVISION_CONFLICT.exitCode());
        assertThat(run.out()).isEmpty();
        assertThat(run.err())
                .isEqualTo(
                        """
                        FIELD     YOURS  THEIRS
                        priority      7       9
                        hornbeamctl: to put your change on top of theirs, run the command again \
                        without --if-revision, or with --if-revision 6, which refuses it should \
                        they change it once more
                        hornbeamctl: revision_conflict: desk is at revision 6
                        """);
    }

    @Test
    void templateSet_whoseOwnLostAnswerLooksLikeAConflict_hasSucceeded() {
        mServer.answer("GET" + DESK, new TemplateView("desk", 4, priority(5)))
                .answer("GET" + DESK, new TemplateView("desk", 5, priority(7)))
                .lose("PUT" + DESK)
                .refuse("PUT" + DESK, ErrorKind.REVISION_CONFLICT, "desk is at revision 5");

        assertThat(run("template", "set", "desk", "--priority", "7").code()).isZero();
    }

    @Test
    void unknownParameterToUnset_isAUsageErrorThatListsThem() {
        Run run = run("template", "set", "desk", "--unset", "colour");

        assertThat(run.code()).isEqualTo(ExitCodes.USAGE);
        assertThat(run.err()).contains("\"colour\" is not a parameter").contains("work-kinds");
    }

    @Test
    void organisationCreate_printsTheKeyOnStandardOutput() {
        mServer.answer(
                "POST /admin/v1/organisations/flight",
                new KeyCreated(ORGANISATION, "first", "hp-abc", 2));

        Run run = run("organisation", "create", "flight", "--template", "desk");

        assertThat(run.out()).contains("key           hp-abc");
        assertThat(run.err()).contains("shown this once").doesNotContain("hp-abc");
        assertThat(mServer.requests().get(0)).contains("\"budgets\":[\"main\"]");
    }

    @Test
    void upstreamCreate_withoutItsParts_namesThem() {
        assertThat(run("upstream", "create", "u1", "--uri", "http://h:1").err())
                .contains("--uri, --domain and --region are needed");
        assertThat(
                        run(
                                        "upstream",
                                        "create",
                                        "u1",
                                        "--uri",
                                        "http://h:1",
                                        "--domain",
                                        "a",
                                        "--region",
                                        "r")
                                .err())
                .contains("exactly one of --model and --service");
        assertThat(mServer.requests()).isEmpty();
    }

    @Test
    void upstreamCreate_sendsTheWholeUpstream() {
        mServer.answer("PUT /admin/v1/upstreams/u1", new Changed("u1", 3));

        Run run =
                run(
                        "upstream",
                        "create",
                        "u1",
                        "--uri",
                        "http://h:1",
                        "--model",
                        "m",
                        "--domain",
                        "a",
                        "--region",
                        "r");

        assertThat(run.code()).isZero();
        assertThat(mServer.requests().get(0))
                .contains("\"baseUri\":\"http://h:1\"")
                .contains("\"maxConcurrent\":256");
    }

    @Test
    void budgetList_isATable() {
        mServer.answer(
                "GET /admin/v1/organisations/flight/budgets",
                new BudgetList(List.of(account("main", 1_000_000), account("spare", 5))));

        assertThat(run("budget", "list", "flight").out())
                .isEqualTo(
                        """
                        BUDGET       PAID  SPENT  HELD  WRITTEN OFF  AVAILABLE
                        main    1,000,000      2     3            0    999,995
                        spare           5      2     3            0          0
                        """);
    }

    @Test
    void budgetSetAndLower_sendTheTotalOnTopOfWhatWasRead() {
        String path = "/admin/v1/organisations/flight/budgets/main";
        mServer.answer("GET " + path, account("main", 100))
                .answer("PUT " + path + "/paid", account("main", 150));

        run("budget", "set", "flight", "main", "--paid", "150");
        run("budget", "set", "flight", "main", "--paid", "100");
        run("budget", "lower", "flight", "main", "--to", "80");
        Run above = run("budget", "lower", "flight", "main", "--to", "120");

        assertThat(mServer.requests())
                .filteredOn(r -> r.startsWith("PUT"))
                .containsExactly(
                        "PUT " + path + "/paid {\"paid\":150,\"expectedPaid\":100}",
                        "PUT " + path + "/paid {\"paid\":80,\"expectedPaid\":100}");
        assertThat(above.code()).isEqualTo(ErrorKind.FIELD_INVALID.exitCode());
        assertThat(above.err()).contains("raise it with `budget top-up`");
    }

    @Test
    void budgetSet_thatLosesToATopUp_printsBothTotals() {
        String path = "/admin/v1/organisations/flight/budgets/main";
        mServer.answer("GET " + path, account("main", 100))
                .answer("GET " + path, account("main", 130))
                .refuse("PUT " + path + "/paid", ErrorKind.REVISION_CONFLICT, "130 are paid");

        Run run = run("budget", "set", "flight", "main", "--paid", "80");

        assertThat(run.code()).isEqualTo(ErrorKind.REVISION_CONFLICT.exitCode());
        assertThat(run.err()).contains("you wanted 80 paid in all; now it is 130");
    }

    @Test
    void budgetLower_whoseOwnLostAnswerLooksLikeAConflict_hasSucceeded() {
        String path = "/admin/v1/organisations/flight/budgets/main";
        mServer.answer("GET " + path, account("main", 100))
                .answer("GET " + path, account("main", 80))
                .lose("PUT " + path + "/paid")
                .refuse("PUT " + path + "/paid", ErrorKind.REVISION_CONFLICT, "80 are paid");

        assertThat(run("budget", "lower", "flight", "main", "--to", "80").code()).isZero();
    }

    @Test
    void statement_isATable() {
        mServer.answer(
                "GET /admin/v1/organisations/flight/statement",
                new StatementView(
                        ORGANISATION, List.of(new StatementView.Line(account("main", 100), 7, 2))));

        assertThat(run("statement", "flight").out())
                .isEqualTo(
                        """
                        BUDGET  PAID  BILLS  BILLED  SPENT  HELD  WRITTEN OFF  AVAILABLE
                        main     100      7       2      2     3            0         95
                        """);
    }

    @Test
    void usage_isATable() {
        mServer.answer(
                "GET /admin/v1/organisations/flight/usage",
                new UsageView(
                        ORGANISATION,
                        List.of(new UsageLine(new BudgetId("main"), 2, 34, 1, 12, 0, 0))));

        assertThat(run("usage", "flight").out())
                .isEqualTo(
                        """
                        BUDGET  BILLS  TOKENS  NOT CHARGED  ITS TOKENS  LATE  ITS TOKENS
                        main        2      34            1          12     0           0
                        """);
    }

    @Test
    void bills_walkOverPages() {
        String path = "GET /admin/v1/organisations/flight/bills?limit=";
        mServer.answer(path + "500", new BillList(List.of(bill("r1")), Optional.of("x y")))
                .answer(
                        path + "500&after=x%20y",
                        new BillList(List.of(bill("r2")), Optional.empty()));

        assertThat(run("bills", "flight").out())
                .isEqualTo(
                        """
                        REQUEST  BUDGET  ATTEMPT   PROMPT  COMPLETION  ADMITTED
                        r1       main    vm-1~1/1      10           4  1970-01-01T00:00:05Z
                        r2       main    vm-1~1/1      10           4  1970-01-01T00:00:05Z
                        """);
    }

    @Test
    void bills_upToALimit_sayHowToGoOn() {
        mServer.answer(
                "GET /admin/v1/organisations/flight/bills?limit=1",
                new BillList(List.of(bill("r1")), Optional.of("r1")));

        assertThat(run("bills", "flight", "--limit", "1").err()).contains("go on with --after r1");
    }

    @Test
    void audit_withABreach_exitsNonZero() {
        AuditView.Breach breach =
                new AuditView.Breach("spend_within_paid", "flight/main", "spent 12 of 10 paid");
        mServer.answer("GET /admin/v1/audit", new AuditView(1, 1, 9, 12, 0, List.of(breach)))
                .answer("GET /admin/v1/audit", new AuditView(1, 1, 9, 9, 0, List.of()));

        Run broken = run("audit");
        Run clean = run("audit");

        assertThat(broken.code()).isEqualTo(ExitCodes.FINDINGS);
        assertThat(broken.out()).contains("spend_within_paid  flight/main  spent 12 of 10 paid");
        assertThat(clean.code()).isZero();
    }

    @Test
    void routers_areATable() {
        VmId vm = new VmId("vm-1", 7);
        RouterView router =
                new RouterView(
                        vm, "ALIVE", "127.0.0.1:8080", new FailureDomain("a"), new Region("r"), 3);
        mServer.answer("GET /admin/v1/routers", new RouterList(vm, List.of(router)));

        assertThat(run("routers").out())
                .isEqualTo(
                        """
                        VM      STATE  ADDRESS         DOMAIN  REGION  REVISION
                        vm-1~7  ALIVE  127.0.0.1:8080  a       r              3
                        """);
    }

    @Test
    void drain_takesTheNameAlsoWithItsIncarnation() {
        mServer.answer("POST /admin/v1/routers/vm-1/drain", new Drained("vm-1", "draining", 2));

        assertThat(run("drain", "vm-1~7").out()).contains("state     draining");
    }

    @Test
    void completion_isAScriptWithAllCommands() {
        Run run = run("completion");

        assertThat(run.code()).isZero();
        assertThat(run.out()).contains("complete -F").contains("top-up").contains("--key-file");
    }

    private Run run(String... arguments) {
        return Run.of(mServer, arguments);
    }

    private static Parameters priority(int priority) {
        Parameters none = Parameters.none();
        return new Parameters(
                none.models(),
                none.adapters(),
                none.services(),
                none.workKinds(),
                Optional.of(priority),
                none.maxCompletionTokens(),
                none.maxConcurrent(),
                none.requestsPerSecond(),
                none.budgetPreference());
    }

    private static BudgetView account(String budget, long paid) {
        return new BudgetView(
                ORGANISATION, new BudgetId(budget), paid, 2, 3, 0, paid - 5, OptionalLong.empty());
    }

    private static BillView bill(String request) {
        return new BillView(
                ORGANISATION,
                new RequestId(request),
                new BudgetId("main"),
                "vm-1~1/1",
                10,
                4,
                5_000);
    }
}
