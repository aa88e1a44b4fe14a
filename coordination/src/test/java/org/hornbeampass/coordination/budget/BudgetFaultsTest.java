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

/** Brings about, one by one, the failures that the budgets are built against. */
class BudgetFaultsTest {
    private static BudgetSimulation world(int vms, int homes) {
        BudgetSimulation world = new BudgetSimulation(vms, GrantPolicy.DEMAND_HORIZON, homes);
        world.topUp("first", 1_000);
        return world;
    }

    private static void gone(BudgetSimulation world, int vm) {
        for (int i = 0; i < world.size(); i++) {
            if (i != vm) {
                world.ledger(i).onVmGone(world.nowMs(), world.node(vm).mId);
            }
        }
        world.run(1_000);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4, 5, 6})
    void topUp_withAnyOneReplyLost_countsOnce(int lostCall) {
        BudgetSimulation world = world(1, 1);
        world.operatorFaultAt(lostCall, PlatformFault.REPLY_LOST);
        world.topUp("second", 500);
        world.topUp("second", 500);
        assertThat(world.statement().paid()).isEqualTo(1_500);
    }

    @Test
    void topUp_sameIdOtherTokens_isRefused() {
        assertThat(world(1, 1).topUp("first", 7).getLeft().kind())
                .isEqualTo(ErrorKind.IDEMPOTENCY_KEY_REUSED);
    }

    @Test
    void topUp_beyondTheLargestSum_isRefused() {
        BudgetSimulation world = world(1, 1);
        assertThat(world.topUp("huge", BudgetRecord.MAX_TOKENS).getLeft().kind())
                .isEqualTo(ErrorKind.FIELD_INVALID);
        assertThat(world.topUp("huger", Long.MAX_VALUE).getLeft().kind())
                .isEqualTo(ErrorKind.FIELD_INVALID);
        assertThat(world.statement().paid()).isEqualTo(1_000);
    }

    @Test
    void closedHolder_thatWakes_spendsWhatItHeldAndIsCountedOnce() {
        BudgetSimulation world = world(2, 2);
        Reservation made = world.reserve(0, 400).get();
        world.node(0).mPaused = true;
        gone(world, 0);
        assertThat(world.statement().writtenOff()).isGreaterThanOrEqualTo(400);
        world.wake(0);
        world.ledger(0).settle(world.nowMs(), made, 300);
        BudgetStatement after = world.settle(30_000);
        assertThat(after.settled()).isEqualTo(300);
        assertThat(after.writtenOff()).isZero();
        assertThat(after.reconciles()).isTrue();
    }

    @Test
    void router_thatDiesBeforeSettlement_leavesItsReservationWrittenOff() {
        BudgetSimulation world = world(2, 2);
        world.reserve(0, 400);
        world.die(0);
        gone(world, 0);
        BudgetStatement after = world.statement();
        assertThat(after.writtenOff()).isGreaterThanOrEqualTo(400);
        assertThat(after.settled()).isZero();
        assertThat(after.reconciles()).isTrue();
        Reservation rest = world.reserve(1, after.available()).get();
        assertThat(world.reserve(1, 1).getLeft().kind()).isEqualTo(ErrorKind.BUDGET_UNREACHABLE);
        world.ledger(1).settle(world.nowMs(), rest, rest.tokens());
        assertThat(world.reserve(1, 1).getLeft().kind()).isEqualTo(ErrorKind.BUDGET_EXHAUSTED);
    }

    @Test
    void limit_cutDuringAReservation_isLoweredOnceTheReservationEnds() {
        BudgetSimulation world = world(1, 1);
        Reservation made = world.reserve(0, 600).get();
        BudgetStatement cut = world.lower(100).get();
        assertThat(cut.target()).hasValue(100);
        assertThat(cut.paid()).isGreaterThanOrEqualTo(600);
        assertThat(cut.outstanding()).hasSize(1);
        world.run(40_000);
        assertThat(world.reserve(0, 1).isLeft()).isTrue();
        world.ledger(0).settle(world.nowMs(), made, 50);
        BudgetStatement after = world.settle(60_000);
        assertThat(after.target()).isEmpty();
        assertThat(after.paid()).isEqualTo(100);
        assertThat(after.settled()).isEqualTo(50);
    }

    @Test
    void lower_toMore_isRefused() {
        assertThat(world(1, 1).lower(1_000).getLeft().kind()).isEqualTo(ErrorKind.FIELD_INVALID);
    }

    @Test
    void vm_cutOffFromThePlatformOnly_getsTokensFromAPeer() {
        BudgetSimulation world = world(2, 2);
        Reservation made = world.reserve(0, 100).get();
        world.ledger(0).cancel(world.nowMs(), made);
        world.node(1).mCutFromPlatform = true;
        assertThat(world.reserve(1, 60).isRight()).isTrue();
    }

    @Test
    void vm_cutOffFromItsPeersOnly_drawsFromThePlatformItself() {
        BudgetSimulation world = world(2, 1);
        world.node(1).mCutFromPeers = true;
        assertThat(world.reserve(1, 60).isRight()).isTrue();
    }

    @Test
    void vm_cutOffFromAll_refusesAsUnreachableWithATimeToRetry() {
        BudgetSimulation world = world(2, 2);
        world.node(1).mCutFromPlatform = true;
        world.node(1).mCutFromPeers = true;
        Failure failure = world.reserve(1, 60).getLeft();
        assertThat(failure.kind()).isEqualTo(ErrorKind.BUDGET_UNREACHABLE);
        assertThat(failure.retryAfterMs()).isPresent();
    }

    @Test
    void move_whoseReplyIsLost_isAddedOnce() {
        BudgetSimulation world = world(2, 1);
        world.reserve(0, 100);
        world.node(0).mDropNextReply = true;
        assertThat(world.reserve(1, 60).isRight()).isTrue();
        world.run(5_000);
        long held = 0;
        for (int i = 0; i < 2; i++) {
            HoldingView view = world.ledger(i).view(BudgetSimulation.KEY).orElseThrow();
            held += view.free() + view.reserved();
        }
        assertThat(held).isEqualTo(world.record().budget(BudgetSimulation.KEY.budget()).drawn());
    }

    @Test
    void grant_whoseReplyIsLost_isFoundAndReturnedAtShutdown() {
        BudgetSimulation world = world(1, 1);
        world.ledger(0)
                .reserve(
                        world.nowMs(),
                        BudgetSimulation.KEY,
                        new RequestId("r"),
                        100,
                        100,
                        (at, r) -> world.node(0).mFault = PlatformFault.NONE);
        world.run(4);
        world.node(0).mFault = PlatformFault.REPLY_LOST;
        world.run(3_000);
        assertThat(world.record().budget(BudgetSimulation.KEY.budget()).drawn()).isPositive();
        assertThat(world.handOver(0)).isTrue();
        assertThat(world.statement().available()).isEqualTo(1_000);
    }

    @Test
    void refund_duringAnAmbiguousWrite_isNotHandedOnBeforeTheRecordShowsIt() {
        BudgetSimulation world = world(2, 1);
        Reservation made = world.reserve(0, 288).get();
        world.run(20_000);
        world.ledger(0).settle(world.nowMs(), made, 231);
        world.node(0).mFault = PlatformFault.REPLY_LOST;
        world.ledger(0).handOver(world.nowMs(), at -> {});
        world.ledger(0).refund(world.nowMs(), BudgetSimulation.KEY, 156);
        Reservation other = world.reserve(1, 456).get();
        world.ledger(1).settle(world.nowMs(), other, 0);
        world.handOver(1);
        assertThat(BudgetAdmin.audit(BudgetSimulation.ORGANISATION, world.record())).isEmpty();
    }

    @Test
    void ask_namingAnotherAsker_isRefusedAndCounted() {
        BudgetSimulation world = world(2, 2);
        world.ledger(0).cancel(world.nowMs(), world.reserve(0, 100).get());
        VmId named = world.node(1).mId;
        AskGrant ask =
                new AskGrant(
                        BudgetSimulation.ORGANISATION,
                        BudgetSimulation.KEY.budget(),
                        named,
                        10,
                        10);
        List<PeerMessage> replies = new ArrayList<>();
        world.ledger(0).onAsk(world.nowMs(), new VmId("other", 1), ask, replies::add);
        assertThat(replies)
                .containsExactly(
                        new AskRefused(
                                BudgetSimulation.ORGANISATION, BudgetSimulation.KEY.budget()));
        assertThat(world.ledger(0).senderMismatches()).isEqualTo(1);
        world.ledger(0).onAsk(world.nowMs(), named, ask, replies::add);
        assertThat(replies.get(1)).isInstanceOf(MoveGrant.class);
        assertThat(world.ledger(0).senderMismatches()).isEqualTo(1);
    }

    @Test
    void move_namingAnotherGiver_isIgnoredAndCounted() {
        BudgetSimulation world = world(2, 2);
        VmId giver = world.node(1).mId;
        MoveGrant move =
                new MoveGrant(
                        BudgetSimulation.ORGANISATION,
                        BudgetSimulation.KEY.budget(),
                        giver,
                        world.node(0).mId,
                        1,
                        new HolderId(giver, 0),
                        500,
                        0);
        List<PeerMessage> replies = new ArrayList<>();
        VmId otherIncarnation = new VmId(giver.name(), giver.incarnation() + 1);
        world.ledger(0).onMove(world.nowMs(), otherIncarnation, move, replies::add);
        assertThat(replies).isEmpty();
        assertThat(world.ledger(0).view(BudgetSimulation.KEY)).isEmpty();
        assertThat(world.ledger(0).senderMismatches()).isEqualTo(1);
    }

    @Test
    void topUp_met390VmsAtOnce_isSharedWithABoundedNumberOfCalls() {
        BudgetSimulation world = new BudgetSimulation(390, GrantPolicy.DEMAND_HORIZON, 9);
        world.topUp("large", 100_000_000);
        int[] admitted = new int[1];
        for (int vm = 0; vm < 390; vm++) {
            world.ledger(vm)
                    .reserve(
                            world.nowMs(),
                            BudgetSimulation.KEY,
                            new RequestId("r" + vm),
                            1_000,
                            5_000,
                            (at, r) -> admitted[0] += r.isRight() ? 1 : 0);
        }
        world.run(6_000);
        assertThat(admitted[0]).isEqualTo(390);
        long calls = 0;
        for (int vm = 0; vm < 390; vm++) {
            calls += world.ledger(vm).platformCalls();
        }
        assertThat(calls).isLessThan(390);
    }
}
