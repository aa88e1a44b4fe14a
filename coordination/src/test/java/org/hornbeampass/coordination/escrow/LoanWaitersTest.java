package org.hornbeampass.coordination.escrow;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hornbeampass.coordination.escrow.DelayedPeers.ORGANISATION;

import org.junit.jupiter.api.Test;

import java.util.List;

/** Tests that requests which wait for a loan do not wait for each other. */
class LoanWaitersTest {
    private final DelayedPeers mPeers = new DelayedPeers();

    /** A request that is admitted as soon as it is notified and its tokens are free. */
    private final class Request {
        private final long mTokens;
        private long mAdmittedMs = Long.MAX_VALUE;

        Request(long tokens) {
            mTokens = tokens;
        }

        void start() {
            boolean searching =
                    mPeers.loans("borrower")
                            .search(mPeers.nowMs(), ORGANISATION, mTokens, this::admit);
            assertThat(searching).isTrue();
        }

        private void admit() {
            Admission admission =
                    mPeers.book("borrower").admit(mPeers.nowMs(), ORGANISATION, mTokens);
            if (admission == Admission.RESERVED) {
                mAdmittedMs = mPeers.nowMs();
            }
        }
    }

    @Test
    void requestThatTheFirstLoanCovers_doesNotWaitForTheOthers() {
        mPeers.add("near", new AllVmsHomes(() -> 1, List::of), 10);
        mPeers.add("silent", new AllVmsHomes(() -> 1, List::of), 60_000);
        mPeers.add("borrower", new OtherHomes(List.of("near", "silent")), 0);
        mPeers.runUntil(1_000);
        long lendable = mPeers.book("near").free(ORGANISATION);
        Request small = new Request(2_000);
        Request large = new Request(2 * lendable);
        small.start();
        large.start();
        mPeers.runUntil(1_100);
        assertThat(small.mAdmittedMs).isLessThanOrEqualTo(1_100);
    }
}
