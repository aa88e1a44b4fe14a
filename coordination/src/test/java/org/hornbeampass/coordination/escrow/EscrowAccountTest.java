package org.hornbeampass.coordination.escrow;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

import org.assertj.core.api.ThrowableAssert.ThrowingCallable;
import org.junit.jupiter.api.Test;

import java.util.List;

/** Checks the amounts that an account takes. */
class EscrowAccountTest {
    private static final long LIMIT = 20_000;

    /** Guards against requests that raise their organisation's budget. */
    @Test
    void negativeAmounts_areRefusedAndFreeNothing() {
        EscrowAccount account = new EscrowAccount();
        account.setLimit(LIMIT);
        assertThat(account.reserve(LIMIT)).isTrue();
        List<ThrowingCallable> calls =
                List.of(
                        () -> account.reserve(-1),
                        () -> account.reserve(Long.MIN_VALUE),
                        () -> account.settle(0, -1, 0),
                        () -> account.settle(0, 1, -1),
                        () -> account.lend(-1),
                        () -> account.lendToRequests(0, -1),
                        () -> account.borrow(-1),
                        () -> account.acceptTransfer(0, -1, 0),
                        () -> account.acceptTransfer(0, 0, -1),
                        () -> account.addWanted(-1, 0));
        for (ThrowingCallable call : calls) {
            assertThatIllegalArgumentException().isThrownBy(call);
            assertThat(account.used()).isEqualTo(LIMIT);
            assertThat(account.free()).isZero();
            assertThat(account.wanted()).isZero();
        }
    }

    @Test
    void amountBeyondTheLimit_isNotReserved() {
        EscrowAccount account = new EscrowAccount();
        account.setLimit(LIMIT);
        assertThat(account.reserve(Long.MAX_VALUE)).isFalse();
        assertThat(account.free()).isEqualTo(LIMIT);
    }
}
