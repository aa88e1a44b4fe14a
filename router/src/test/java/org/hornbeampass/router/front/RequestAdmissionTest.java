package org.hornbeampass.router.front;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;

import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.ModelId;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.Sha256;
import org.hornbeampass.state.UpstreamId;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.config.ConfigSnapshot;
import org.hornbeampass.state.config.OrganisationSpec;
import org.hornbeampass.state.config.Parameters;
import org.hornbeampass.state.config.Template;
import org.hornbeampass.state.config.UpstreamSpec;
import org.hornbeampass.state.config.WorkKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Tests which requests {@link RequestAdmission} admits, and the errors for those it refuses. */
class RequestAdmissionTest {
    private static final String KEY = "the-key";
    private static final OrganisationId ORGANISATION = new OrganisationId("iblei");
    private static final String BODY =
            "{\"model\":\"desk\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";

    private final RequestAdmission mAdmission =
            new RequestAdmission(new VmId("vm-1", 7), RequestLimits.defaults());
    private final ServingConfig mConfig = ServingConfig.of(config());
    private final Map<String, String> mHeaders = new HashMap<>();

    RequestAdmissionTest() {
        mHeaders.put("authorization", "Bearer " + KEY);
    }

    private static ConfigSnapshot config() {
        Parameters parameters =
                new Parameters(
                        Optional.of(Set.of(new ModelId("desk"), new ModelId("absent"))),
                        Optional.of(Set.of("pilot")),
                        Optional.of(Set.of("records")),
                        Optional.of(Set.of(WorkKind.values())),
                        Optional.empty(),
                        Optional.of(100),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty());
        byte[] hash = Sha256.hash(KEY);
        OrganisationSpec organisation =
                new OrganisationSpec(
                        ORGANISATION,
                        "t",
                        Parameters.none(),
                        Set.of(new BudgetId("b"), new BudgetId("a")),
                        Map.of("first", HexFormat.of().formatHex(hash)));
        return new ConfigSnapshot(
                1,
                Map.of("t", new Template("t", parameters)),
                Map.of(ORGANISATION, organisation),
                Map.of(
                        new UpstreamId("u"), upstream("u", Optional.of("desk"), Optional.empty()),
                        new UpstreamId("s"),
                                upstream("s", Optional.empty(), Optional.of("records"))));
    }

    private static UpstreamSpec upstream(
            String id, Optional<String> model, Optional<String> service) {
        return new UpstreamSpec(
                new UpstreamId(id),
                "http://127.0.0.1:1",
                model.map(ModelId::new),
                service,
                new FailureDomain("d"),
                new Region("r"),
                true,
                8);
    }

    private Either<Failure, AdmittedChat> chat(String body) {
        return mAdmission.chat(
                1_000, new TestExchange("POST", "/v1/chat/completions", mHeaders, body), mConfig);
    }

    private Either<Failure, AdmittedServiceCall> service(String method, String target) {
        return mAdmission.service(1_000, new TestExchange(method, target, mHeaders, "x"), mConfig);
    }

    @Test
    void validRequest_usesTheFirstBudget() {
        AdmittedChat order = chat(BODY).get();
        assertThat(order.budget().budget()).isEqualTo(new BudgetId("a"));
        assertThat(order.plan().completionLimit()).isEqualTo(100);
        assertThat(order.plan().deadlineMs())
                .isEqualTo(1_000 + RequestLimits.defaults().defaultDeadlineMs());
    }

    @ParameterizedTest
    @CsvSource({
        "authorization, Bearer other,  KEY_MISSING_OR_UNKNOWN, authorization",
        "authorization, the-key,       KEY_MISSING_OR_UNKNOWN, authorization",
        "x-budget,      c,             FIELD_INVALID,          x-budget is \"c\"",
        "x-deadline-ms, soon,          FIELD_INVALID,          x-deadline-ms is \"soon\"",
        "x-deadline-ms, 0,             FIELD_INVALID,          x-deadline-ms is \"0\"",
        "idempotency-key, a b,         FIELD_INVALID,          idempotency-key"
    })
    void invalidHeader_isNamedInTheError(
            String header, String value, ErrorKind kind, String message) {
        mHeaders.put(header, value);
        Failure failure = chat(BODY).getLeft();
        assertThat(failure.kind()).isEqualTo(kind);
        assertThat(failure.message()).contains(message).doesNotContain(KEY + "-secret");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '~',
            value = {
                "desk | desk\",\"max_tokens\":\"101 | FIELD_INVALID",
                "desk | other                       | MODEL_UNKNOWN",
                "desk | absent                      | MODEL_UNKNOWN",
                "desk | desk\",\"adapter\":\"other  | NOT_PERMITTED"
            })
    void requestOutsideTheTerms_isRefused(String from, String to, ErrorKind kind) {
        String body = BODY.replace(from, to).replace("\"101\"", "101");
        assertThat(chat(body).getLeft().kind()).isEqualTo(kind);
    }

    @Test
    void sameIdempotencyKeyWithDifferentBody_givesDifferentRequestKey() {
        mHeaders.put("idempotency-key", "k1");
        AdmittedChat first = chat(BODY).get();
        assertThat(chat(BODY).get().key()).isEqualTo(first.key());
        assertThat(chat(BODY.replace("hi", "ho")).get().key()).isNotEqualTo(first.key());
        assertThat(first.key().request().value()).isEqualTo("k1");
    }

    @Test
    void requestsWithoutIdempotencyKey_getDistinctKeys() {
        assertThat(chat(BODY).get().key()).isNotEqualTo(chat(BODY).get().key());
    }

    @ParameterizedTest
    @CsvSource({"GET, true", "POST, false", "PUT, false", "DELETE, false"})
    void onlyGet_isRepeatableByDefault(String method, boolean repeatable) {
        AdmittedServiceCall order = service(method, "/v1/services/records/v1/x%2Fy?a=b").get();
        assertThat(order.plan().repeatable()).isEqualTo(repeatable);
        assertThat(order.call().target()).isEqualTo("/v1/x%2Fy?a=b");
    }

    @Test
    void workKindHeader_makesPostRepeatable() {
        mHeaders.put("x-work-kind", "service_repeatable");
        assertThat(service("POST", "/v1/services/records/a").get().plan().repeatable()).isTrue();
    }

    @Test
    void unknownService_isNotFound() {
        assertThat(service("GET", "/v1/services/other/a").getLeft().kind())
                .isEqualTo(ErrorKind.NOT_FOUND);
    }
}
