package org.hornbeampass.coordination.budget;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.RequestId;
import org.hornbeampass.state.budget.Reservation;
import org.junit.jupiter.api.Test;

/** Shows admission on one VM with a platform that works. */
class BudgetLedgerTest {
    private final BudgetSimulation mWorld = new BudgetSimulation(1, GrantPolicy.DEMAND_HORIZON, 1);

    @Test
    void reserve_drawsAndAdmits() {
        mWorld.topUp("t1", 1_000);
        assertThat(mWorld.reserve(0, 600).isRight()).isTrue();
    }

    @Test
    void reserve_beyondWhatIsLeft_isExhausted() {
        mWorld.topUp("t1", 1_000);
        assertThat(mWorld.reserve(0, 1_001).getLeft().kind()).isEqualTo(ErrorKind.BUDGET_EXHAUSTED);
    }

    @Test
    void tryReserve_withNothingHeld_isUnreachable() {
        mWorld.topUp("t1", 1_000);
        assertThat(
                        mWorld.ledger(0)
                                .tryReserve(0, BudgetSimulation.KEY, new RequestId("r"), 1)
                                .getLeft()
                                .kind())
                .isEqualTo(ErrorKind.BUDGET_UNREACHABLE);
    }

    @Test
    void reserve_ofTooMany_isInvalid() {
        assertThat(mWorld.reserve(0, Long.MAX_VALUE).getLeft().kind())
                .isEqualTo(ErrorKind.FIELD_INVALID);
        assertThat(mWorld.reserve(0, 0).getLeft().kind()).isEqualTo(ErrorKind.FIELD_INVALID);
        assertThat(mWorld.reserve(0, -1).getLeft().kind()).isEqualTo(ErrorKind.FIELD_INVALID);
    }

    @Test
    void settle_beyondTheReservation_isCapped() {
        mWorld.topUp("t1", 1_000);
        Reservation made = mWorld.reserve(0, 600).get();
        mWorld.ledger(0).settle(mWorld.nowMs(), made, 900);
        HoldingView view = mWorld.ledger(0).view(BudgetSimulation.KEY).orElseThrow();
        assertThat(view.overrun()).isEqualTo(300);
        assertThat(mWorld.settle(20_000).settled()).isEqualTo(600);
    }

    @Test
    void settle_twice_countsOnce() {
        mWorld.topUp("t1", 1_000);
        Reservation made = mWorld.reserve(0, 600).get();
        mWorld.ledger(0).settle(mWorld.nowMs(), made, 100);
        mWorld.ledger(0).settle(mWorld.nowMs(), made, 100);
        assertThat(mWorld.settle(20_000).settled()).isEqualTo(100);
    }

    @Test
    void refund_makesTokensFreeAgain() {
        mWorld.topUp("t1", 1_000);
        Reservation made = mWorld.reserve(0, 1_000).get();
        mWorld.ledger(0).settle(mWorld.nowMs(), made, 1_000);
        mWorld.settle(20_000);
        mWorld.ledger(0).refund(mWorld.nowMs(), BudgetSimulation.KEY, 1_000);
        assertThat(mWorld.reserve(0, 1_000).isRight()).isTrue();
    }

    @Test
    void handOver_reportsAndReturnsAll() {
        mWorld.topUp("t1", 1_000);
        Reservation made = mWorld.reserve(0, 600).get();
        mWorld.ledger(0).settle(mWorld.nowMs(), made, 100);
        assertThat(mWorld.handOver(0)).isTrue();
        var statement = mWorld.statement();
        assertThat(statement.settled()).isEqualTo(100);
        assertThat(statement.available()).isEqualTo(900);
        assertThat(statement.writtenOff()).isZero();
        assertThat(mWorld.reserve(0, 1).getLeft().kind()).isEqualTo(ErrorKind.SHUTTING_DOWN);
    }
}
