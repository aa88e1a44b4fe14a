package org.hornbeampass.coordination.escrow;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hornbeampass.coordination.escrow.DelayedPeers.ORGANISATION;

import org.junit.jupiter.api.Test;

import java.util.List;

/** Tests that tokens which another VM lends are not lost where its reply takes long. */
class LateLoanTest {
    private final DelayedPeers mPeers = new DelayedPeers();

    @Test
    void tokensInAReplyThatComesAfterTheSearch_areNotLost() {
        mPeers.add("lender", new AllVmsHomes(() -> 1, List::of), 900);
        mPeers.add("borrower", new OtherHomes(List.of("lender")), 0);
        mPeers.runUntil(1_000);
        long free = mPeers.free();
        boolean searching =
                mPeers.loans("borrower").search(mPeers.nowMs(), ORGANISATION, 5_000, () -> {});
        mPeers.runUntil(3_000);
        assertThat(searching).isTrue();
        assertThat(mPeers.free()).isEqualTo(free);
    }
}
