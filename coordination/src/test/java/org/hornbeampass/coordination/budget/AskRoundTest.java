package org.hornbeampass.coordination.budget;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.state.VmId;
import org.junit.jupiter.api.Test;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Tests which peers a round asks, in which order, and when it counts as failed. */
class AskRoundTest {
    private static final VmId A = new VmId("a", 1);
    private static final VmId B = new VmId("b", 1);

    private final Set<VmId> mUnresponsivePeers = new HashSet<>();
    private final AskRound mRound = new AskRound(mUnresponsivePeers);

    @Test
    void idleRound_endsWithoutFailure_andTheNextStartsWithTheFirstPeer() {
        mRound.start(List.of(A, B));
        assertThat(mRound.nextPeer()).contains(A);
        mRound.onAskEnded(true);
        mRound.endIfIdle(5);
        assertThat(mRound.running()).isFalse();
        assertThat(mRound.failed()).isFalse();
        assertThat(mRound.mayStart(5)).isTrue();
        mRound.start(List.of(A, B));
        assertThat(mRound.nextPeer()).contains(A);
    }

    @Test
    void roundWithAnAskInFlight_isNotEnded() {
        mRound.start(List.of(A, B));
        mRound.nextPeer();
        mRound.endIfIdle(5);
        assertThat(mRound.running()).isTrue();
    }

    @Test
    void unresponsivePeer_isAskedLast_alsoByOtherRounds_untilItReplies() {
        mRound.start(List.of(A, B));
        mRound.nextPeer();
        mRound.onAskEnded(false);
        AskRound other = new AskRound(mUnresponsivePeers);
        other.start(List.of(A, B));
        assertThat(other.nextPeer()).contains(B);
        other.onAskEnded(true);
        assertThat(other.nextPeer()).contains(A);
        other.onAskEnded(true);
        other.start(List.of(A, B));
        assertThat(other.nextPeer()).contains(A);
    }

    @Test
    void tokensReceived_isResetByTheNextRound() {
        mRound.start(List.of(A));
        mRound.onTokensReceived();
        assertThat(mRound.anyTokensReceived()).isTrue();
        mRound.start(List.of(A));
        assertThat(mRound.anyTokensReceived()).isFalse();
    }
}
