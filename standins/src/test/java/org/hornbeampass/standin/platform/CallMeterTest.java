package org.hornbeampass.standin.platform;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.coordination.platform.PlatformCall.Kind;
import org.hornbeampass.standin.platform.CallMeter.Count;
import org.junit.jupiter.api.Test;

/** Tests {@link CallMeter}. */
class CallMeterTest {
    private final CallMeter mMeter = new CallMeter(new CallLimits(3, 2));

    @Test
    void admit_beyondTheRate_isRefusedAndCounted() {
        assertThat(mMeter.admit(0, Kind.WRITE)).isTrue();
        assertThat(mMeter.admit(0, Kind.WRITE)).isTrue();
        assertThat(mMeter.admit(0, Kind.WRITE)).isFalse();

        assertThat(mMeter.counts()).containsEntry(Kind.WRITE, new Count(3, 1));
    }

    @Test
    void admit_afterHalfASecond_takesHalfTheRate() {
        mMeter.admit(0, Kind.WRITE);
        mMeter.admit(0, Kind.WRITE);

        assertThat(mMeter.admit(500, Kind.WRITE)).isTrue();
        assertThat(mMeter.admit(500, Kind.WRITE)).isFalse();
    }

    @Test
    void admit_ofReadsAndWatches_sharesOneRate() {
        assertThat(mMeter.admit(0, Kind.READ)).isTrue();
        assertThat(mMeter.admit(0, Kind.WATCH)).isTrue();
        assertThat(mMeter.admit(0, Kind.WATCH)).isTrue();
        assertThat(mMeter.admit(0, Kind.READ)).isFalse();
        assertThat(mMeter.admit(0, Kind.WRITE)).isTrue();
    }
}
