package org.hornbeampass.coordination.budget;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.RequestId;
import org.hornbeampass.state.budget.Reservation;
import org.junit.jupiter.api.Test;

/** Tests admission on one VM whose platform works. */
class BudgetLedgerTest {
    private final BudgetSimulation mSimulation =
            new BudgetSimulation(1, GrantPolicy.DEMAND_HORIZON, 1);

    @Test
    void reserve_withNothingHeld_drawsTokensAndAdmits() {
        mSimulation.topUp("t1", 1_000);
        assertThat(mSimulation.reserve(0, 600).isRight()).isTrue();
    }

    @Test
    void reserve_beyondTheTokensLeft_isRefusedAsExhausted() {
        mSimulation.topUp("t1", 1_000);
        assertThat(mSimulation.reserve(0, 1_001).getLeft().kind())
                .isEqualTo(ErrorKind.BUDGET_EXHAUSTED);
    }

    @Test
    void tryReserve_withNothingHeld_isRefusedAsUnreachable() {
        mSimulation.topUp("t1", 1_000);
        assertThat(
                        mSimulation
                                .ledger(0)
                                .tryReserve(0, BudgetSimulation.KEY, new RequestId("r"), 1)
                                .getLeft()
                                .kind())
                .isEqualTo(ErrorKind.BUDGET_UNREACHABLE);
    }

    @Test
    void reserve_ofAnInvalidNumber_isRefused() {
        assertThat(mSimulation.reserve(0, Long.MAX_VALUE).getLeft().kind())
                .isEqualTo(ErrorKind.FIELD_INVALID);
        assertThat(mSimulation.reserve(0, 0).getLeft().kind()).isEqualTo(ErrorKind.FIELD_INVALID);
        assertThat(mSimulation.reserve(0, -1).getLeft().kind()).isEqualTo(ErrorKind.FIELD_INVALID);
    }

    @Test
    void settle_beyondTheReservation_isCapped() {
        mSimulation.topUp("t1", 1_000);
        Reservation reservation = mSimulation.reserve(0, 600).get();
        mSimulation.ledger(0).settle(mSimulation.nowMs(), reservation, 900);
        HoldingView view = mSimulation.ledger(0).view(BudgetSimulation.KEY).orElseThrow();
        assertThat(view.overrun()).isEqualTo(300);
        assertThat(mSimulation.runAndGetStatement(20_000).settled()).isEqualTo(600);
    }

    @Test
    void settle_twice_countsOnce() {
        mSimulation.topUp("t1", 1_000);
        Reservation reservation = mSimulation.reserve(0, 600).get();
        mSimulation.ledger(0).settle(mSimulation.nowMs(), reservation, 100);
        mSimulation.ledger(0).settle(mSimulation.nowMs(), reservation, 100);
        assertThat(mSimulation.runAndGetStatement(20_000).settled()).isEqualTo(100);
    }

    @Test
    void refund_makesTokensFreeAgain() {
        mSimulation.topUp("t1", 1_000);
        Reservation reservation = mSimulation.reserve(0, 1_000).get();
        mSimulation.ledger(0).settle(mSimulation.nowMs(), reservation, 1_000);
        mSimulation.runAndGetStatement(20_000);
        mSimulation.ledger(0).refund(mSimulation.nowMs(), BudgetSimulation.KEY, 1_000);
        assertThat(mSimulation.reserve(0, 1_000).isRight()).isTrue();
    }

    @Test
    void handOver_reportsSpendingAndReturnsUnspentTokens() {
        mSimulation.topUp("t1", 1_000);
        Reservation reservation = mSimulation.reserve(0, 600).get();
        mSimulation.ledger(0).settle(mSimulation.nowMs(), reservation, 100);
        assertThat(mSimulation.handOver(0)).isTrue();
        var statement = mSimulation.statement();
        assertThat(statement.settled()).isEqualTo(100);
        assertThat(statement.available()).isEqualTo(900);
        assertThat(statement.writtenOff()).isZero();
        assertThat(mSimulation.reserve(0, 1).getLeft().kind()).isEqualTo(ErrorKind.SHUTTING_DOWN);
    }
}
