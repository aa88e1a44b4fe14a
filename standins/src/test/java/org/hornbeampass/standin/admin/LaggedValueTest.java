package org.hornbeampass.standin.admin;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests {@link LaggedValue}. */
class LaggedValueTest {
    private final LaggedValue<String> mValue = new LaggedValue<>(100, "initial");

    @Test
    void get_showsEachValueAfterTheLag() {
        mValue.set(10, "a");
        mValue.set(50, "b");

        assertThat(mValue.get(109)).isEqualTo("initial");
        assertThat(mValue.get(110)).isEqualTo("a");
        assertThat(mValue.get(149)).isEqualTo("a");
        assertThat(mValue.get(150)).isEqualTo("b");
    }

    @Test
    void set_inQuickSuccession_keepsTheLast() {
        mValue.set(10, "a");
        mValue.set(12, "b");

        assertThat(mValue.get(110)).isEqualTo("b");
    }
}
