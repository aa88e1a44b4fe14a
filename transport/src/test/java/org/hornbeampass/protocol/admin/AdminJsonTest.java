package org.hornbeampass.protocol.admin;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.config.Parameters;
import org.hornbeampass.state.config.UpstreamSpec;
import org.junit.jupiter.api.Test;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Tests {@link AdminJson}. */
class AdminJsonTest {
    @Test
    void readRequest_ofEncodedValue_isEqual() {
        OrganisationBody body =
                new OrganisationBody("desk", Optional.of(Parameters.none()), java.util.Set.of());

        assertThat(AdminJson.readRequest(AdminJson.encode(body), OrganisationBody.class).get())
                .isEqualTo(body);
    }

    @Test
    void readRequest_ofUnknownField_namesFieldPlaceAndKnownOnes() {
        Failure fault = fault("{\"id\":\"a\",\n \"tokenz\":4}", TopUpBody.class);

        assertThat(fault.kind()).isEqualTo(ErrorKind.FIELD_INVALID);
        assertThat(fault.message())
                .startsWith("tokenz is not a known field (line 2, column")
                .endsWith("known are: id, tokens");
    }

    @Test
    void readRequest_ofWrongType_namesField() {
        Failure fault = fault("{\"priority\":\"high\"}", Parameters.class);

        assertThat(fault.kind()).isEqualTo(ErrorKind.FIELD_INVALID);
        assertThat(fault.message()).startsWith("priority").contains("high");
    }

    @Test
    void readRequest_ofMissingField_namesIt() {
        Failure fault = fault("{\"id\":\"u1\"}", UpstreamSpec.class);

        assertThat(fault.kind()).isEqualTo(ErrorKind.FIELD_INVALID);
        assertThat(fault.message()).startsWith("baseUri is missing: set it");
    }

    @Test
    void readRequest_ofBrokenInvariant_saysWhich() {
        Failure fault =
                fault(
                        "{\"id\":\"u1\",\"baseUri\":\"http://x\",\"domain\":\"d\",\"region\":\"r\"}",
                        UpstreamSpec.class);

        assertThat(fault.message()).contains("exactly one of model and service");
    }

    @Test
    void readRequest_ofFraction_isRefused() {
        assertThat(fault("{\"id\":\"a\",\"tokens\":1.5}", TopUpBody.class).kind())
                .isEqualTo(ErrorKind.FIELD_INVALID);
    }

    @Test
    void readRequest_ofNumberBeyondLong_isRefused() {
        assertThat(fault("{\"id\":\"a\",\"tokens\":9223372036854775808}", TopUpBody.class).kind())
                .isEqualTo(ErrorKind.FIELD_INVALID);
    }

    @Test
    void readRequest_ofHalfABody_namesPlace() {
        Failure fault = fault("{\"id\":\"a\",", TopUpBody.class);

        assertThat(fault.kind()).isEqualTo(ErrorKind.MALFORMED_REQUEST);
        assertThat(fault.message()).contains("line 1");
    }

    @Test
    void readRequest_ofDeepNesting_isRefused() {
        String deep = "[".repeat(10_000);

        assertThat(fault(deep, TopUpBody.class).kind()).isEqualTo(ErrorKind.MALFORMED_REQUEST);
    }

    @Test
    void readRequest_ofNothingNullOrTrailingText_isRefused() {
        assertThat(fault("", TopUpBody.class).message()).contains("empty");
        assertThat(fault("null", TopUpBody.class).message()).contains("null");
        assertThat(fault("{\"id\":\"a\",\"tokens\":1} x", TopUpBody.class).kind())
                .isEqualTo(ErrorKind.MALFORMED_REQUEST);
    }

    @Test
    void readRequest_ofTooMuch_namesLimit() {
        Failure fault = fault(" ".repeat(AdminPaths.MAX_BODY_BYTES + 1), TopUpBody.class);

        assertThat(fault.kind()).isEqualTo(ErrorKind.REQUEST_TOO_LARGE);
        assertThat(fault.message()).contains("262144");
    }

    @Test
    void toString_ofNewKey_hidesIt() {
        KeyCreated created = new KeyCreated(new OrganisationId("o"), "k", "hp-secret", 3);

        assertThat(created.toString()).doesNotContain("secret");
    }

    private static Failure fault(String body, Class<?> type) {
        return AdminJson.readRequest(body.getBytes(StandardCharsets.UTF_8), type).getLeft();
    }
}
