package org.hornbeampass.state;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.state.config.ConfigSnapshot;
import org.hornbeampass.state.config.OrganisationSpec;
import org.hornbeampass.state.config.Parameters;
import org.hornbeampass.state.config.Template;
import org.junit.jupiter.api.Test;

import java.util.Map;
import java.util.Set;

/** Tests that stored values decode to equal values and that mismatches name the type. */
class JsonTest {
    @Test
    void decode_ofEncodedConfiguration_isEqual() {
        OrganisationId id = new OrganisationId("flight-desk");
        ConfigSnapshot snapshot =
                new ConfigSnapshot(
                        7,
                        Map.of("desk", new Template("desk", Parameters.none())),
                        Map.of(
                                id,
                                new OrganisationSpec(
                                        id,
                                        "desk",
                                        Parameters.none(),
                                        Set.of(new BudgetId("main")),
                                        Map.of("k", "00ff"))),
                        Map.of());

        assertThat(Json.decode(Json.encode(snapshot), ConfigSnapshot.class).get())
                .isEqualTo(snapshot);
    }

    @Test
    void decode_ofVmId_isEqual() {
        VmId vm = new VmId("vm-1", 42);

        assertThat(Json.encode(vm)).isEqualTo("\"vm-1~42\"");
        assertThat(Json.decode(Json.encode(vm), VmId.class).get()).isEqualTo(vm);
    }

    @Test
    void decode_ofOtherShape_namesExpectedType() {
        assertThat(Json.decode("[1]", ConfigSnapshot.class).getLeft().message())
                .contains("ConfigSnapshot");
    }
}
