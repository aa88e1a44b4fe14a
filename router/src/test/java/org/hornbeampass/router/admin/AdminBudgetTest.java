package org.hornbeampass.router.admin;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.coordination.slo.BurnReport;
import org.hornbeampass.protocol.admin.BillView;
import org.hornbeampass.protocol.admin.SloView;
import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.RequestId;
import org.hornbeampass.state.VmId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import java.security.SecureRandom;
import java.util.List;
import java.util.Map;

/**
 * Tests the endpoints of {@link AdminHandler} for budgets, bills, statements, audits and drains.
 */
class AdminBudgetTest {
    private static final String KEY = "operator-key-of-the-test";
    private static final String BUDGETS = "/admin/v1/organisations/flight/budgets";

    private final MemoryBilling mBilling = new MemoryBilling();
    private final MemoryAccounts mAccounts = new MemoryAccounts();
    private AdminHandler mHandler;
    private long mNowMs;

    @BeforeEach
    void makeOrganisations() {
        AdminPorts ports =
                new AdminPorts(
                        new MemoryConfiguration(),
                        mAccounts,
                        mBilling,
                        new FakeFleet(),
                        nowMs ->
                                new SloView(
                                        new VmId("vm-1", 7), nowMs, BurnReport.merged(List.of())));
        OperatorKeys keys =
                new OperatorKeys(List.of(new OperatorKey("olga", KeyGenerator.hash(KEY))), Map::of);
        mHandler = new AdminHandler(ports, keys, new SecureRandom());
        send("PUT", "/admin/v1/templates/desk", "{}");
        for (String name : List.of("flight", "mould")) {
            send(
                    "POST",
                    "/admin/v1/organisations/" + name,
                    "{\"template\":\"desk\",\"budgets\":[\"main\"]}");
        }
    }

    @Test
    void topUp_withTheSameId_countsOnce() {
        FakeExchange first =
                send("POST", BUDGETS + "/main/top-up", "{\"id\":\"t1\",\"tokens\":50}");
        FakeExchange again =
                send("POST", BUDGETS + "/main/top-up", "{\"id\":\"t1\",\"tokens\":50}");

        assertThat(first.answer()).contains("\"paid\":50");
        assertThat(again.answer()).contains("\"paid\":50");
    }

    @Test
    void topUp_withInvalidFields_reportsEachField() {
        assertThat(send("POST", BUDGETS + "/main/top-up", "{\"id\":\"\",\"tokens\":0}").answer())
                .contains("field_invalid")
                .contains("id \\\"\\\" must start")
                .contains("tokens must be from 1");
        assertThat(send("POST", BUDGETS + "/main/top-up", "{\"id\":\"a\",\"tokens\":-5}").answer())
                .contains("tokens must be from 1");
    }

    @Test
    void topUp_ofUnknownBudgetOrOrganisation_isNotFound() {
        assertThat(send("POST", BUDGETS + "/mian/top-up", "{\"id\":\"a\",\"tokens\":5}").answer())
                .contains("not_found")
                .contains("it has: main");
        assertThat(
                        send(
                                        "POST",
                                        "/admin/v1/organisations/fright/budgets/main/top-up",
                                        "{\"id\":\"a\",\"tokens\":5}")
                                .answer())
                .contains("no organisation fright");
    }

    @Test
    void budgets_areCreatedListedAndDeletedOnlyWhenEmpty() {
        assertThat(send("POST", BUDGETS + "/spare", "").status()).isEqualTo(200);
        assertThat(send("POST", BUDGETS + "/spare", "").answer()).contains("already_exists");
        send("POST", BUDGETS + "/spare/top-up", "{\"id\":\"a\",\"tokens\":5}");

        assertThat(send("GET", BUDGETS, "").answer()).contains("main").contains("\"paid\":5");
        assertThat(send("DELETE", BUDGETS + "/spare", "").answer()).contains("lower it first");
        send("PUT", BUDGETS + "/spare/paid", "{\"paid\":0}");
        assertThat(send("DELETE", BUDGETS + "/spare", "").status()).isEqualTo(200);
        assertThat(send("DELETE", BUDGETS + "/main", "").answer()).contains("the last one");
    }

    @Test
    void paid_isSetOnlyIfNoTopUpCameBetween() {
        String top = BUDGETS + "/main/top-up";
        send("POST", top, "{\"id\":\"a\",\"tokens\":50}");
        send("POST", top, "{\"id\":\"b\",\"tokens\":7}");

        assertThat(
                        send("PUT", BUDGETS + "/main/paid", "{\"paid\":20,\"expectedPaid\":50}")
                                .answer())
                .contains("revision_conflict")
                .contains("57 tokens are paid");
        assertThat(
                        send("PUT", BUDGETS + "/main/paid", "{\"paid\":20,\"expectedPaid\":57}")
                                .answer())
                .contains("\"paid\":20");
        assertThat(send("PUT", BUDGETS + "/main/paid", "{\"paid\":-1}").answer())
                .contains("paid must be from 0");
    }

    @Test
    void outage_returnsTheLastReadWithItsAge_andRejectsDeletion() {
        send("POST", BUDGETS + "/main/top-up", "{\"id\":\"a\",\"tokens\":50}");
        assertThat(send("GET", BUDGETS, "").answerHeaders()).containsEntry("Age", "0");
        mAccounts.outage();
        mNowMs = 42_000;

        FakeExchange old = send("GET", BUDGETS + "/main", "");

        assertThat(old.answerHeaders()).containsEntry("Age", "42");
        assertThat(old.answer()).contains("\"paid\":50");
        assertThat(send("DELETE", BUDGETS + "/main", "").answer()).contains("platform_unavailable");
        assertThat(send("GET", "/admin/v1/organisations/mould/budgets", "").answer())
                .contains("platform_unavailable");
    }

    @Test
    void bills_containOnlyThoseOfTheOrganisation() {
        mBilling.add(bill("flight", "r1", 10, 4));
        mBilling.add(bill("mould", "r2", 30, 6));

        assertThat(send("GET", "/admin/v1/organisations/flight/bills", "").answer())
                .contains("r1")
                .doesNotContain("r2");
        assertThat(send("GET", "/admin/v1/organisations/mould/usage", "").answer())
                .contains("\"tokens\":36")
                .doesNotContain("\"tokens\":14");
        assertThat(send("GET", "/admin/v1/organisations/none/bills", "").answer())
                .contains("not_found");
    }

    @Test
    void statement_combinesAccountAndBills() {
        mBilling.add(bill("flight", "r1", 10, 4));
        mBilling.add(bill("flight", "r2", 20, 6));
        send("POST", BUDGETS + "/main/top-up", "{\"id\":\"a\",\"tokens\":500}");

        FakeExchange exchange = send("GET", "/admin/v1/organisations/flight/statement", "");

        assertThat(exchange.answer()).contains("\"paid\":500").contains("\"billedTokens\":40");
    }

    @Test
    void drain_ofUnknownRouter_isNotFound() {
        assertThat(send("POST", "/admin/v1/routers/vm-1/drain", "").answer()).contains("draining");
        assertThat(send("POST", "/admin/v1/routers/vm-9/drain", "").status()).isEqualTo(404);
    }

    @Test
    void auditSloRoutersAndRevision_areReadable() {
        assertThat(send("GET", "/admin/v1/audit", "").answer()).contains("\"breaches\":[]");
        assertThat(send("GET", "/admin/v1/slo", "").answer()).contains("\"scopes\":[]");
        assertThat(send("GET", "/admin/v1/routers", "").answer()).contains("vm-1~7");
        assertThat(send("GET", "/admin/v1/revision", "").answer()).contains("\"everywhere\":3");
    }

    private static BillView bill(String organisation, String request, long prompt, long answer) {
        return new BillView(
                new OrganisationId(organisation),
                new RequestId(request),
                new BudgetId("main"),
                "vm-1~1/1",
                prompt,
                answer,
                5);
    }

    private FakeExchange send(String method, String target, String body) {
        FakeExchange exchange =
                new FakeExchange(method, target, body).with("Authorization", "Bearer " + KEY);
        mHandler.handle(mNowMs, exchange);
        return exchange;
    }
}
