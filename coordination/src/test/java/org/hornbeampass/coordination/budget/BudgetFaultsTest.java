package org.hornbeampass.coordination.budget;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.coordination.budget.BudgetSimulation.PlatformFault;
import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.RequestId;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.budget.BudgetRecord;
import org.hornbeampass.state.budget.BudgetStatement;
import org.hornbeampass.state.budget.HolderId;
import org.hornbeampass.state.budget.Reservation;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.util.ArrayList;
import java.util.List;

/**
 * Triggers, one by one, the failures that must not cause overspending, double counting or lost
 * tokens.
 */
class BudgetFaultsTest {
    private static BudgetSimulation newSimulation(int vms, int homes) {
        BudgetSimulation simulation = new BudgetSimulation(vms, GrantPolicy.DEMAND_HORIZON, homes);
        simulation.topUp("first", 1_000);
        return simulation;
    }

    private static void declareGone(BudgetSimulation simulation, int vm) {
        for (int i = 0; i < simulation.size(); i++) {
            if (i != vm) {
                simulation.ledger(i).onVmGone(simulation.nowMs(), simulation.router(vm).mId);
            }
        }
        simulation.run(1_000);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4, 5, 6})
    void topUp_withAnyOneReplyLost_countsOnce(int lostCall) {
        BudgetSimulation simulation = newSimulation(1, 1);
        simulation.operatorFaultAt(lostCall, PlatformFault.REPLY_LOST);
        simulation.topUp("second", 500);
        simulation.topUp("second", 500);
        assertThat(simulation.statement().paid()).isEqualTo(1_500);
    }

    @Test
    void topUp_sameIdOtherTokens_isRefused() {
        assertThat(newSimulation(1, 1).topUp("first", 7).getLeft().kind())
                .isEqualTo(ErrorKind.IDEMPOTENCY_KEY_REUSED);
    }

    @Test
    void topUp_beyondTheLargestTotal_isRefused() {
        BudgetSimulation simulation = newSimulation(1, 1);
        assertThat(simulation.topUp("huge", BudgetRecord.MAX_TOKENS).getLeft().kind())
                .isEqualTo(ErrorKind.FIELD_INVALID);
        assertThat(simulation.topUp("huger", Long.MAX_VALUE).getLeft().kind())
                .isEqualTo(ErrorKind.FIELD_INVALID);
        assertThat(simulation.statement().paid()).isEqualTo(1_000);
    }

    @Test
    void closedHolder_whoseVmResumes_spendsItsTokensAndIsCountedOnce() {
        BudgetSimulation simulation = newSimulation(2, 2);
        Reservation reservation = simulation.reserve(0, 400).get();
        simulation.router(0).mPaused = true;
        declareGone(simulation, 0);
        assertThat(simulation.statement().writtenOff()).isGreaterThanOrEqualTo(400);
        simulation.resume(0);
        simulation.ledger(0).settle(simulation.nowMs(), reservation, 300);
        BudgetStatement after = simulation.runAndGetStatement(30_000);
        assertThat(after.settled()).isEqualTo(300);
        assertThat(after.writtenOff()).isZero();
        assertThat(after.reconciles()).isTrue();
    }

    @Test
    void router_thatCrashesBeforeSettlement_leavesItsReservationWrittenOff() {
        BudgetSimulation simulation = newSimulation(2, 2);
        simulation.reserve(0, 400);
        simulation.crash(0);
        declareGone(simulation, 0);
        BudgetStatement after = simulation.statement();
        assertThat(after.writtenOff()).isGreaterThanOrEqualTo(400);
        assertThat(after.settled()).isZero();
        assertThat(after.reconciles()).isTrue();
        Reservation rest = simulation.reserve(1, after.available()).get();
        assertThat(simulation.reserve(1, 1).getLeft().kind())
                .isEqualTo(ErrorKind.BUDGET_UNREACHABLE);
        simulation.ledger(1).settle(simulation.nowMs(), rest, rest.tokens());
        assertThat(simulation.reserve(1, 1).getLeft().kind()).isEqualTo(ErrorKind.BUDGET_EXHAUSTED);
    }

    @Test
    void lowerPaid_duringAReservation_takesEffectOnceTheReservationEnds() {
        BudgetSimulation simulation = newSimulation(1, 1);
        Reservation reservation = simulation.reserve(0, 600).get();
        BudgetStatement lowered = simulation.lower(100).get();
        assertThat(lowered.target()).hasValue(100);
        assertThat(lowered.paid()).isGreaterThanOrEqualTo(600);
        assertThat(lowered.outstanding()).hasSize(1);
        simulation.run(40_000);
        assertThat(simulation.reserve(0, 1).isLeft()).isTrue();
        simulation.ledger(0).settle(simulation.nowMs(), reservation, 50);
        BudgetStatement after = simulation.runAndGetStatement(60_000);
        assertThat(after.target()).isEmpty();
        assertThat(after.paid()).isEqualTo(100);
        assertThat(after.settled()).isEqualTo(50);
    }

    @Test
    void lowerPaid_toAValueNotLower_isRefused() {
        assertThat(newSimulation(1, 1).lower(1_000).getLeft().kind())
                .isEqualTo(ErrorKind.FIELD_INVALID);
    }

    @Test
    void vm_cutOffFromThePlatformOnly_getsTokensFromAPeer() {
        BudgetSimulation simulation = newSimulation(2, 2);
        Reservation reservation = simulation.reserve(0, 100).get();
        simulation.ledger(0).cancel(simulation.nowMs(), reservation);
        simulation.router(1).mCutFromPlatform = true;
        assertThat(simulation.reserve(1, 60).isRight()).isTrue();
    }

    @Test
    void vm_cutOffFromItsPeersOnly_drawsFromThePlatformItself() {
        BudgetSimulation simulation = newSimulation(2, 1);
        simulation.router(1).mCutFromPeers = true;
        assertThat(simulation.reserve(1, 60).isRight()).isTrue();
    }

    @Test
    void vm_cutOffFromAll_refusesAsUnreachableWithARetryTime() {
        BudgetSimulation simulation = newSimulation(2, 2);
        simulation.router(1).mCutFromPlatform = true;
        simulation.router(1).mCutFromPeers = true;
        Failure failure = simulation.reserve(1, 60).getLeft();
        assertThat(failure.kind()).isEqualTo(ErrorKind.BUDGET_UNREACHABLE);
        assertThat(failure.retryAfterMs()).isPresent();
    }

    @Test
    void move_whoseReplyIsLost_isAddedOnce() {
        BudgetSimulation simulation = newSimulation(2, 1);
        simulation.reserve(0, 100);
        simulation.router(0).mDropNextReply = true;
        assertThat(simulation.reserve(1, 60).isRight()).isTrue();
        simulation.run(5_000);
        long held = 0;
        for (int i = 0; i < 2; i++) {
            HoldingView view = simulation.ledger(i).view(BudgetSimulation.KEY).orElseThrow();
            held += view.free() + view.reserved();
        }
        assertThat(held)
                .isEqualTo(simulation.record().budget(BudgetSimulation.KEY.budget()).drawn());
    }

    @Test
    void grant_whoseReplyIsLost_isFoundAndReturnedAtShutdown() {
        BudgetSimulation simulation = newSimulation(1, 1);
        simulation
                .ledger(0)
                .reserve(
                        simulation.nowMs(),
                        BudgetSimulation.KEY,
                        new RequestId("r"),
                        100,
                        100,
                        (at, r) -> simulation.router(0).mNextFault = PlatformFault.NONE);
        simulation.run(4);
        simulation.router(0).mNextFault = PlatformFault.REPLY_LOST;
        simulation.run(3_000);
        assertThat(simulation.record().budget(BudgetSimulation.KEY.budget()).drawn()).isPositive();
        assertThat(simulation.handOver(0)).isTrue();
        assertThat(simulation.statement().available()).isEqualTo(1_000);
    }

    @Test
    void refund_duringAWriteOfUnknownOutcome_isNotMovedBeforeTheRecordShowsIt() {
        BudgetSimulation simulation = newSimulation(2, 1);
        Reservation reservation = simulation.reserve(0, 288).get();
        simulation.run(20_000);
        simulation.ledger(0).settle(simulation.nowMs(), reservation, 231);
        simulation.router(0).mNextFault = PlatformFault.REPLY_LOST;
        simulation.ledger(0).handOver(simulation.nowMs(), at -> {});
        simulation.ledger(0).refund(simulation.nowMs(), BudgetSimulation.KEY, 156);
        Reservation other = simulation.reserve(1, 456).get();
        simulation.ledger(1).settle(simulation.nowMs(), other, 0);
        simulation.handOver(1);
        assertThat(BudgetAdmin.audit(BudgetSimulation.ORGANISATION, simulation.record())).isEmpty();
    }

    @Test
    void ask_namingAnotherAsker_isRefusedAndCounted() {
        BudgetSimulation simulation = newSimulation(2, 2);
        simulation.ledger(0).cancel(simulation.nowMs(), simulation.reserve(0, 100).get());
        VmId named = simulation.router(1).mId;
        AskGrant ask =
                new AskGrant(
                        BudgetSimulation.ORGANISATION,
                        BudgetSimulation.KEY.budget(),
                        named,
                        10,
                        10);
        List<PeerMessage> replies = new ArrayList<>();
        simulation.ledger(0).onAsk(simulation.nowMs(), new VmId("other", 1), ask, replies::add);
        assertThat(replies)
                .containsExactly(
                        new AskRefused(
                                BudgetSimulation.ORGANISATION, BudgetSimulation.KEY.budget()));
        assertThat(simulation.ledger(0).senderMismatches()).isEqualTo(1);
        simulation.ledger(0).onAsk(simulation.nowMs(), named, ask, replies::add);
        assertThat(replies.get(1)).isInstanceOf(MoveGrant.class);
        assertThat(simulation.ledger(0).senderMismatches()).isEqualTo(1);
    }

    @Test
    void move_namingAnotherGiver_isIgnoredAndCounted() {
        BudgetSimulation simulation = newSimulation(2, 2);
        VmId giver = simulation.router(1).mId;
        MoveGrant move =
                new MoveGrant(
                        BudgetSimulation.ORGANISATION,
                        BudgetSimulation.KEY.budget(),
                        giver,
                        simulation.router(0).mId,
                        1,
                        new HolderId(giver, 0),
                        500,
                        0);
        List<PeerMessage> replies = new ArrayList<>();
        VmId otherIncarnation = new VmId(giver.name(), giver.incarnation() + 1);
        simulation.ledger(0).onMove(simulation.nowMs(), otherIncarnation, move, replies::add);
        assertThat(replies).isEmpty();
        assertThat(simulation.ledger(0).view(BudgetSimulation.KEY)).isEmpty();
        assertThat(simulation.ledger(0).senderMismatches()).isEqualTo(1);
    }

    @Test
    void topUp_usedBy390VmsAtOnce_needsFewerPlatformCallsThanVms() {
        BudgetSimulation simulation = new BudgetSimulation(390, GrantPolicy.DEMAND_HORIZON, 9);
        simulation.topUp("large", 100_000_000);
        int[] admitted = new int[1];
        for (int vm = 0; vm < 390; vm++) {
            simulation
                    .ledger(vm)
                    .reserve(
                            simulation.nowMs(),
                            BudgetSimulation.KEY,
                            new RequestId("r" + vm),
                            1_000,
                            5_000,
                            (at, r) -> admitted[0] += r.isRight() ? 1 : 0);
        }
        simulation.run(6_000);
        assertThat(admitted[0]).isEqualTo(390);
        long calls = 0;
        for (int vm = 0; vm < 390; vm++) {
            calls += simulation.ledger(vm).platformCalls();
        }
        assertThat(calls).isLessThan(390);
    }
}
