package org.hornbeampass.standin.admin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.hornbeampass.standin.engine.EngineSettings;
import org.junit.jupiter.api.Test;

/** Tests {@link SettingsReader}. */
class SettingsReaderTest {
    private static final EngineSettings DEFAULTS = EngineSettings.defaults("desk");

    @Test
    void read_laysPartsOverTheDefaults() {
        EngineSettings read =
                SettingsReader.read(
                        """
                        {
                          // a slower engine
                          "timing": {"stepBaseMs": 9},
                          "models": ["desk", "review"],
                          "weights": {"store": "http://127.0.0.1:1"}
                        }
                        """,
                        DEFAULTS,
                        EngineSettings.class);

        assertThat(read.timing().stepBaseMs()).isEqualTo(9);
        assertThat(read.timing().maxBatch()).isEqualTo(DEFAULTS.timing().maxBatch());
        assertThat(read.models()).containsExactly("desk", "review");
        assertThat(read.weights().store()).hasValue("http://127.0.0.1:1");
        assertThat(read.behaviour()).isEqualTo(DEFAULTS.behaviour());
    }

    @Test
    void read_ofUnknownSetting_isRefused() {
        assertThatThrownBy(
                        () ->
                                SettingsReader.read(
                                        "{\"tming\": {}}", DEFAULTS, EngineSettings.class))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("tming");
    }
}
