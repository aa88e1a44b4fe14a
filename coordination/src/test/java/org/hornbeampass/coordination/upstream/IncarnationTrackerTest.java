package org.hornbeampass.coordination.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.state.upstream.LeavingEvidence;
import org.junit.jupiter.api.Test;

/** Tests {@link IncarnationTracker}. */
class IncarnationTrackerTest {
    private final IncarnationTracker mTracker = new IncarnationTracker(0);

    @Test
    void newUpstreamThatIsNotListedYet_isLive() {
        assertThat(mTracker.onNotListed(1)).isFalse();
        assertThat(mTracker.isLive()).isTrue();
    }

    @Test
    void endedIncarnation_isNotRevivedByListThatStillContainsIt() {
        mTracker.onListed(1, 4);
        assertThat(mTracker.onEnded(2, 4, LeavingEvidence.UPSTREAM_REPORT)).isTrue();
        mTracker.onListed(3, 4);

        assertThat(mTracker.isLive()).isFalse();
        assertThat(mTracker.endEvidence()).contains(LeavingEvidence.UPSTREAM_REPORT);
    }

    @Test
    void greaterIncarnation_isLiveAgain() {
        mTracker.onEnded(2, 4, LeavingEvidence.OWN_OBSERVATION);
        assertThat(mTracker.onSeen(3, 5)).isTrue();

        assertThat(mTracker.isLive()).isTrue();
        assertThat(mTracker.liveSinceMs()).isEqualTo(3);
    }

    @Test
    void reportOfEarlierIncarnation_isIgnored() {
        mTracker.onSeen(1, 5);

        assertThat(mTracker.onSeen(2, 4)).isFalse();
        assertThat(mTracker.onEnded(3, 4, LeavingEvidence.OWN_OBSERVATION)).isFalse();
        assertThat(mTracker.isLive()).isTrue();
    }

    @Test
    void listedIncarnation_endsWhenListNoLongerContainsIt() {
        mTracker.onListed(1, 4);

        assertThat(mTracker.onNotListed(2)).isTrue();
        assertThat(mTracker.isLive()).isFalse();
    }

    @Test
    void incarnationNewerThanTheListedOne_staysLiveWhenTheListedOneIsRemoved() {
        mTracker.onListed(1, 4);
        mTracker.onSeen(2, 5);

        assertThat(mTracker.onNotListed(3)).isFalse();
        assertThat(mTracker.isLive()).isTrue();
    }
}
