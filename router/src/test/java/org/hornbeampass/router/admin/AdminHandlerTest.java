package org.hornbeampass.router.admin;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.coordination.slo.BurnReport;
import org.hornbeampass.protocol.admin.AdminJson;
import org.hornbeampass.protocol.admin.AdminPaths;
import org.hornbeampass.protocol.admin.KeyCreated;
import org.hornbeampass.protocol.admin.OrganisationView;
import org.hornbeampass.protocol.admin.SloView;
import org.hornbeampass.protocol.admin.TemplateList;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.config.ConfigChange;
import org.hornbeampass.state.config.OrganisationSpec;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.List;
import java.util.OptionalLong;

/**
 * Tests how {@link AdminHandler} changes the configuration: input, conflicts, keys, pages, outages.
 */
class AdminHandlerTest {
    private static final String KEY = "operator-key-of-the-test";
    private static final String DESK = "/admin/v1/templates/desk";
    private static final String ORGANISATION = "/admin/v1/organisations/flight";

    private final MemoryConfiguration mConfiguration = new MemoryConfiguration();
    private AdminHandler mHandler;

    @BeforeEach
    void makeHandler() {
        AdminPorts ports =
                new AdminPorts(
                        mConfiguration,
                        new MemoryAccounts(),
                        new MemoryBilling(),
                        new FakeFleet(),
                        nowMs ->
                                new SloView(
                                        new VmId("vm-1", 7), nowMs, BurnReport.merged(List.of())));
        OperatorKeys keys =
                new OperatorKeys(
                        List.of(new OperatorKey("olga", KeyGenerator.hash(KEY))),
                        () -> mConfiguration.snapshot().operatorKeys());
        mHandler = new AdminHandler(ports, keys, new SecureRandom());
    }

    @Test
    void noKeyOrWrongKey_isRejectedOnEveryPath() {
        for (String path : List.of(DESK, "/admin/v1/nothing")) {
            FakeExchange none = new FakeExchange("GET", path, "");
            mHandler.handle(0, none);
            assertRejected(none, ErrorKind.KEY_MISSING_OR_UNKNOWN, "operator's key");

            FakeExchange wrong =
                    new FakeExchange("GET", path, "").with("Authorization", "Bearer " + KEY + "x");
            mHandler.handle(0, wrong);
            assertRejected(wrong, ErrorKind.KEY_MISSING_OR_UNKNOWN, "operator's key");
            assertThat(wrong.answer()).doesNotContain(KEY);
        }
    }

    @Test
    void callersKey_isNotAcceptedAsOperatorsKey() {
        createTemplate();
        KeyCreated created = created(createOrganisation());

        FakeExchange exchange =
                new FakeExchange("GET", ORGANISATION, "")
                        .with("Authorization", "Bearer " + created.key());
        mHandler.handle(0, exchange);

        assertRejected(exchange, ErrorKind.KEY_MISSING_OR_UNKNOWN, "callers' keys");
    }

    @Test
    void operatorsKeyInTheConfiguration_isAccepted() {
        mConfiguration.propose(
                0,
                new ConfigChange.PutOperatorKey("pia", KeyGenerator.hash("pias-key")),
                OptionalLong.empty(),
                (atMs, result) -> {});

        FakeExchange exchange =
                new FakeExchange("GET", "/admin/v1/templates", "")
                        .with("Authorization", "Bearer pias-key");
        mHandler.handle(0, exchange);

        assertThat(exchange.status()).isEqualTo(200);
    }

    @Test
    void unknownPathAndMethod_areRejectedWithAHint() {
        assertRejected(send("GET", "/admin/v1/organizations", ""), ErrorKind.NOT_FOUND, "docs/CLI");
        assertRejected(send("PATCH", DESK, "{}"), ErrorKind.METHOD_NOT_ALLOWED, "DELETE or GET");
        assertRejected(
                send("GET", "/admin/v1/" + "x".repeat(5000), ""), ErrorKind.NOT_FOUND, "...");
    }

    @Test
    void malformedAndOversizedBodies_areRejectedWithTheCause() {
        assertRejected(send("PUT", DESK, "{\"models\":"), ErrorKind.MALFORMED_REQUEST, "line 1");
        assertRejected(send("PUT", DESK, ""), ErrorKind.MALFORMED_REQUEST, "empty");
        assertRejected(
                send("PUT", DESK, " ".repeat(AdminPaths.MAX_BODY_BYTES + 1)),
                ErrorKind.REQUEST_TOO_LARGE,
                "262144");
        assertRejected(
                send("PUT", DESK, "{\"maxTokens\":1}"), ErrorKind.FIELD_INVALID, "maxTokens");
    }

    @Test
    void invalidParameters_areAllReportedTogether() {
        FakeExchange exchange = send("PUT", DESK, "{\"priority\":11,\"maxConcurrent\":0}");

        assertRejected(exchange, ErrorKind.FIELD_INVALID, "priority must be from 0 to 9, not 11");
        assertThat(exchange.answer()).contains("maxConcurrent must be from 1");
        assertThat(mConfiguration.snapshot().revision()).isZero();
    }

    @Test
    void invalidNames_areRejected() {
        assertRejected(
                send("PUT", "/admin/v1/templates/a%20b", "{}"), ErrorKind.FIELD_INVALID, "a b");
        assertRejected(
                send("PUT", "/admin/v1/templates/%20", "{}"), ErrorKind.NOT_FOUND, "nothing");
    }

    @Test
    void templateOfUnknownName_isNotFound() {
        assertRejected(send("GET", DESK, ""), ErrorKind.NOT_FOUND, "no template desk");
        assertRejected(send("DELETE", DESK, ""), ErrorKind.NOT_FOUND, "no template desk");
    }

    @Test
    void createTwice_failsWithAlreadyExists() {
        createTemplate();

        FakeExchange again = new FakeExchange("PUT", DESK, "{}").with("If-None-Match", "*");

        assertRejected(send(again), ErrorKind.ALREADY_EXISTS, "at revision 1");
    }

    @Test
    void staleIfMatch_isAConflictWithTheCurrentRevision() {
        createTemplate();
        assertThat(send("PUT", DESK, "{\"priority\":2}").status()).isEqualTo(200);

        FakeExchange late = new FakeExchange("PUT", DESK, "{\"priority\":3}").with("If-Match", "1");

        assertRejected(send(late), ErrorKind.REVISION_CONFLICT, "is at revision 2");
        assertThat(template().parameters().priority()).contains(2);
    }

    @Test
    void concurrentChangeAtThePlatform_isAConflict() {
        createTemplate();
        mConfiguration.beforeNextProposal(() -> send("PUT", DESK, "{\"priority\":2}"));

        FakeExchange late = new FakeExchange("PUT", DESK, "{\"priority\":3}").with("If-Match", "1");

        assertRejected(send(late), ErrorKind.REVISION_CONFLICT, "template/desk");
        assertThat(template().parameters().priority()).contains(2);
    }

    @Test
    void concurrentCreation_failsWithAlreadyExists() {
        mConfiguration.beforeNextProposal(() -> send("PUT", DESK, "{\"priority\":2}"));

        FakeExchange late = new FakeExchange("PUT", DESK, "{}").with("If-None-Match", "*");

        assertRejected(send(late), ErrorKind.ALREADY_EXISTS, "template/desk");
    }

    @Test
    void changeOnARevisionNotYetApplied_isNotReadyRatherThanAConflict() {
        createTemplate();

        FakeExchange ahead = new FakeExchange("PUT", DESK, "{}").with("If-Match", "5");

        assertRejected(send(ahead), ErrorKind.NOT_READY, "runs revision 1");
    }

    @Test
    void nonNumericIfMatch_isRejected() {
        FakeExchange exchange = new FakeExchange("PUT", DESK, "{}").with("If-Match", "abc");

        assertRejected(send(exchange), ErrorKind.FIELD_INVALID, "If-Match");
    }

    @Test
    void organisationWithUnknownTemplate_isRejectedWithTheKnownOnes() {
        createTemplate();

        FakeExchange exchange =
                send("POST", ORGANISATION, "{\"template\":\"dusk\",\"budgets\":[\"main\"]}");

        assertRejected(exchange, ErrorKind.FIELD_INVALID, "known are: desk");
    }

    @Test
    void newKey_isShownOnceAndStoredAsHash() {
        createTemplate();
        FakeExchange exchange = createOrganisation();
        KeyCreated created = created(exchange);

        assertThat(exchange.answerHeaders()).containsEntry("cache-control", "no-store");
        assertThat(created.key()).startsWith("hp-").hasSize(46);
        assertThat(spec().keyHashes()).containsEntry("first", KeyGenerator.hash(created.key()));
        assertThat(send("GET", ORGANISATION, "").answer())
                .contains("first")
                .doesNotContain(created.key())
                .doesNotContain(KeyGenerator.hash(created.key()));
    }

    @Test
    void organisationUpdate_keepsAKeyAddedConcurrently() {
        createTemplate();
        createOrganisation();
        mConfiguration.beforeNextProposal(() -> send("POST", ORGANISATION + "/keys/second", ""));

        FakeExchange exchange =
                send(
                        "PUT",
                        ORGANISATION,
                        "{\"template\":\"desk\",\"overrides\":{\"priority\":8},"
                                + "\"budgets\":[\"main\"]}");

        assertThat(exchange.status()).isEqualTo(200);
        assertThat(spec().keyHashes()).containsOnlyKeys("first", "second");
        assertThat(spec().overrides().priority()).contains(8);
    }

    @Test
    void keys_areAddedAndRevokedByName() {
        createTemplate();
        createOrganisation();

        assertThat(send("POST", ORGANISATION + "/keys/second", "").status()).isEqualTo(201);
        assertRejected(
                send("POST", ORGANISATION + "/keys/second", ""),
                ErrorKind.ALREADY_EXISTS,
                "second");
        assertThat(send("DELETE", ORGANISATION + "/keys/first", "").status()).isEqualTo(200);
        assertRejected(
                send("DELETE", ORGANISATION + "/keys/first", ""), ErrorKind.NOT_FOUND, "no key");
        assertThat(spec().keyHashes()).containsOnlyKeys("second");
    }

    @Test
    void templateInUse_isNotDeleted() {
        createTemplate();
        createOrganisation();

        assertRejected(send("DELETE", DESK, ""), ErrorKind.FIELD_INVALID, "is used by flight");
    }

    @Test
    void terms_comeFromTemplateWhereNotOverridden() {
        createTemplate();
        createOrganisation();
        send("PUT", DESK, "{\"priority\":1,\"models\":[\"flight-desk\"]}");

        OrganisationView view =
                AdminJson.readAnswer(
                                send("GET", ORGANISATION, "")
                                        .answer()
                                        .getBytes(StandardCharsets.UTF_8),
                                OrganisationView.class)
                        .get();

        assertThat(view.terms().get().priority()).isEqualTo(1);
        assertThat(view.revision()).isEqualTo(2);
    }

    @Test
    void invalidUpstream_isRejected() {
        String path = "/admin/v1/upstreams/u1";
        String rest = "\"domain\":\"a\",\"region\":\"r\",\"maxConcurrent\":8}";

        assertRejected(
                send("PUT", path, "{\"id\":\"u1\",\"baseUri\":\"ftp://x\",\"model\":\"m\"," + rest),
                ErrorKind.FIELD_INVALID,
                "baseUri");
        assertRejected(
                send("PUT", path, "{\"id\":\"u1\",\"baseUri\":\"http://h:1\"," + rest),
                ErrorKind.FIELD_INVALID,
                "exactly one of model and service");
        assertRejected(
                send(
                        "PUT",
                        path,
                        "{\"id\":\"u2\",\"baseUri\":\"http://h:1\",\"model\":\"m\"," + rest),
                ErrorKind.FIELD_INVALID,
                "differs from the path");
    }

    @Test
    void upstreamAtAnAddressInUse_isRejected() {
        String rest =
                "\"baseUri\":\"http://127.0.0.1:9\",\"model\":\"m\",\"domain\":\"a\",\"region\":\"r\",\"maxConcurrent\":8}";
        assertThat(send("PUT", "/admin/v1/upstreams/u1", "{\"id\":\"u1\"," + rest).status())
                .isEqualTo(200);

        assertRejected(
                send("PUT", "/admin/v1/upstreams/u2", "{\"id\":\"u2\"," + rest),
                ErrorKind.FIELD_INVALID,
                "is upstream u1's already");
    }

    @Test
    void upstreamDrain_isStoredInTheConfiguration() {
        String path = "/admin/v1/upstreams/u1";
        send(
                "PUT",
                path,
                "{\"id\":\"u1\",\"baseUri\":\"http://h:1\",\"model\":\"m\",\"domain\":\"a\","
                        + "\"region\":\"r\",\"maxConcurrent\":8}");

        assertThat(send("GET", path, "").answer()).contains("\"draining\":false");
        assertThat(send("POST", path + "/drain", "").answer()).contains("\"revision\":2");
        assertThat(send("GET", path, "").answer()).contains("\"draining\":true");
        assertRejected(send("POST", "/admin/v1/upstreams/u9/drain", ""), ErrorKind.NOT_FOUND, "u9");
    }

    @Test
    void lists_arePaged() {
        for (String name : List.of("c", "a", "b")) {
            send("PUT", "/admin/v1/templates/" + name, "{}");
        }

        TemplateList first = templates("?limit=2");
        TemplateList second = templates("?limit=2&after=" + first.next().get());

        assertThat(first.items()).extracting("name").containsExactly("a", "b");
        assertThat(second.items()).extracting("name").containsExactly("c");
        assertThat(second.next()).isEmpty();
        assertRejected(
                send("GET", "/admin/v1/templates?limit=0", ""), ErrorKind.FIELD_INVALID, "limit");
        assertRejected(
                send("GET", "/admin/v1/templates?limit=x", ""), ErrorKind.FIELD_INVALID, "limit");
    }

    @Test
    void outage_readsCarryTheirAge_changesAreRejected() {
        createTemplate();
        mConfiguration.outage(65_432);

        assertThat(send("GET", DESK, "").answerHeaders()).containsEntry("Age", "65");
        assertRejected(send("PUT", DESK, "{}"), ErrorKind.PLATFORM_UNAVAILABLE, "down");
    }

    private void createTemplate() {
        FakeExchange exchange =
                send(new FakeExchange("PUT", DESK, "{}").with("If-None-Match", "*"));
        assertThat(exchange.status()).isEqualTo(200);
    }

    private FakeExchange createOrganisation() {
        return send("POST", ORGANISATION, "{\"template\":\"desk\",\"budgets\":[\"main\"]}");
    }

    private org.hornbeampass.state.config.Template template() {
        return mConfiguration.snapshot().templates().get("desk");
    }

    private OrganisationSpec spec() {
        return mConfiguration.snapshot().organisations().get(new OrganisationId("flight"));
    }

    private TemplateList templates(String query) {
        String answer = send("GET", "/admin/v1/templates" + query, "").answer();
        return AdminJson.readAnswer(answer.getBytes(StandardCharsets.UTF_8), TemplateList.class)
                .get();
    }

    private static KeyCreated created(FakeExchange exchange) {
        assertThat(exchange.status()).isEqualTo(201);
        return AdminJson.readAnswer(
                        exchange.answer().getBytes(StandardCharsets.UTF_8), KeyCreated.class)
                .get();
    }

    private FakeExchange send(String method, String target, String body) {
        return send(new FakeExchange(method, target, body));
    }

    private FakeExchange send(FakeExchange exchange) {
        mHandler.handle(0, exchange.with("Authorization", "Bearer " + KEY));
        return exchange;
    }

    private static void assertRejected(FakeExchange exchange, ErrorKind kind, String part) {
        assertThat(exchange.answer()).contains("\"" + kind.code() + "\"").contains(part);
        assertThat(exchange.status()).isEqualTo(kind.httpStatus());
    }
}
