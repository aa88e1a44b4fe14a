package org.hornbeampass.coordination.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.state.upstream.LeavingEvidence;
import org.junit.jupiter.api.Test;

/** Tests {@link IncarnationTracker}. */
class IncarnationTrackerTest {
    private final IncarnationTracker mLife = new IncarnationTracker(0);

    @Test
    void newUpstream_thatNoListShowsYet_isLive() {
        assertThat(mLife.notListed(1)).isFalse();
        assertThat(mLife.live()).isTrue();
    }

    @Test
    void endedLife_isNotRevivedByListThatStillShowsIt() {
        mLife.listed(1, 4);
        assertThat(mLife.ended(2, 4, LeavingEvidence.UPSTREAM_REPORT)).isTrue();
        mLife.listed(3, 4);

        assertThat(mLife.live()).isFalse();
        assertThat(mLife.endEvidence()).contains(LeavingEvidence.UPSTREAM_REPORT);
    }

    @Test
    void greaterIncarnation_isLiveAgain() {
        mLife.ended(2, 4, LeavingEvidence.OWN_OBSERVATION);
        assertThat(mLife.seen(3, 5)).isTrue();

        assertThat(mLife.live()).isTrue();
        assertThat(mLife.liveSinceMs()).isEqualTo(3);
    }

    @Test
    void newsOfEarlierLife_isToBeIgnored() {
        mLife.seen(1, 5);

        assertThat(mLife.seen(2, 4)).isFalse();
        assertThat(mLife.ended(3, 4, LeavingEvidence.OWN_OBSERVATION)).isFalse();
        assertThat(mLife.live()).isTrue();
    }

    @Test
    void lifeThatWasListed_endsWhenListShowsItNoMore() {
        mLife.listed(1, 4);

        assertThat(mLife.notListed(2)).isTrue();
        assertThat(mLife.live()).isFalse();
    }

    @Test
    void lifeThatBeganAfterTheListedOne_staysWhenTheListedOneGoes() {
        mLife.listed(1, 4);
        mLife.seen(2, 5);

        assertThat(mLife.notListed(3)).isFalse();
        assertThat(mLife.live()).isTrue();
    }
}
