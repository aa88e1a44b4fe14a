package org.hornbeampass.example;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;

import org.hornbeampass.coordination.budget.BudgetAdmin;
import org.hornbeampass.coordination.budget.BudgetHomes;
import org.hornbeampass.coordination.budget.BudgetLedger;
import org.hornbeampass.coordination.budget.BudgetSettings;
import org.hornbeampass.coordination.budget.GrantPolicy;
import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.platform.MemoryPlatform;
import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.coordination.requests.LedgerSettings;
import org.hornbeampass.coordination.requests.RequestLedger;
import org.hornbeampass.coordination.requests.ShardOwners;
import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.RequestId;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.budget.BudgetStatement;
import org.hornbeampass.state.budget.Reservation;
import org.hornbeampass.state.requests.AttemptId;
import org.hornbeampass.state.requests.CallOutcome;
import org.hornbeampass.state.requests.Claim;
import org.hornbeampass.state.requests.ClaimOutcome;
import org.hornbeampass.state.requests.RequestKey;
import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiConsumer;

/** Two VMs that share a prepaid budget and a non-repeatable call through one store. */
class EmbeddedLibraryTest {
    private static final BudgetKey BUDGET =
            new BudgetKey(new OrganisationId("acme"), new BudgetId("chat"));
    private static final long TICK_MS = 50;

    private final MemoryPlatform mStore = new MemoryPlatform();
    private final List<VmId> mMembers = List.of(new VmId("a", 1), new VmId("b", 1));
    private final Vm mA = new Vm(mMembers.get(0));
    private final Vm mB = new Vm(mMembers.get(1));
    private long mNowMs = 1_000_000;

    /** One VM with its own connection to the platform, its budgets and its request log. */
    private final class Vm implements Platform {
        private final VmId mSelf;
        private final BudgetLedger mBudgets;
        private final RequestLedger mRequests;
        private boolean mDisconnected;

        Vm(VmId self) {
            mSelf = self;
            mBudgets =
                    new BudgetLedger(
                            self,
                            this,
                            new NoPeers(),
                            new StaticHomes(mMembers),
                            BudgetSettings.defaults(),
                            GrantPolicy.DEMAND_HORIZON);
            mRequests =
                    new RequestLedger(
                            this,
                            this,
                            new NoPeers(),
                            self,
                            ShardOwners.rendezvous(() -> List.of(self)),
                            vm -> false,
                            LedgerSettings.standard(),
                            self.hashCode());
        }

        @Override
        public void submit(long nowMs, PlatformCall call, BiConsumer<Long, PlatformReply> done) {
            if (mDisconnected) {
                done.accept(nowMs, new PlatformReply.Unavailable("cut off"));
            } else {
                mStore.submit(nowMs, call, done);
            }
        }

        Either<Failure, Reservation> reserve(String request, long tokens) {
            AtomicReference<Either<Failure, Reservation>> result = new AtomicReference<>();
            RequestId id = new RequestId(request);
            mBudgets.reserve(mNowMs, BUDGET, id, tokens, 2_000, (atMs, r) -> result.set(r));
            while (result.get() == null) {
                run(TICK_MS);
            }
            return result.get();
        }

        ClaimOutcome claim(RequestKey key, long attempt) {
            AtomicReference<Either<Failure, ClaimOutcome>> result = new AtomicReference<>();
            Claim claim = new Claim(key, new AttemptId(mSelf, attempt), mNowMs);
            mRequests.claim(mNowMs, claim, (atMs, outcome) -> result.set(outcome));
            run(1_000);
            return result.get().get();
        }
    }

    @Test
    void budgetIsNotOverspent_whenOneVmIsCutOffDuringTopUp() {
        topUp("order-1", 1_000);
        Reservation first = mA.reserve("r1", 300).get();
        Reservation second = mB.reserve("r2", 300).get();
        mA.mBudgets.settle(mNowMs, first, 250);

        mB.mDisconnected = true;
        mB.mBudgets.settle(mNowMs, second, 300); // reported once the connection is restored
        topUp("order-2", 1_000);
        topUp("order-2", 1_000); // repeated by the operator, added only once

        run(2_000);
        // B can't read the top-up: it spends what it holds and rejects the rest. A is not affected.
        assertThat(mB.reserve("r3", 800).getLeft().kind()).isEqualTo(ErrorKind.BUDGET_UNREACHABLE);
        Reservation third = mA.reserve("r4", 900).get();
        mA.mBudgets.settle(mNowMs, third, 900);

        mB.mDisconnected = false;
        assertThat(mB.reserve("r5", 551).isLeft()).isTrue(); // 550 of 2000 tokens are left
        BudgetStatement statement = statement();
        assertThat(statement.paid()).isEqualTo(2_000);
        assertThat(statement.settled()).isEqualTo(1_450);
        assertThat(statement.reconciles()).isTrue();
    }

    @Test
    void claimedCall_runsAtMostOnce() {
        RequestKey call = new RequestKey(BUDGET.organisation(), new RequestId("release-7"), "d1");

        assertThat(mA.claim(call, 1).status()).isEqualTo(ClaimOutcome.Status.GRANTED);
        // A runs the call. A retry at B does not run it, and later receives A's answer.
        assertThat(mB.claim(call, 1).status()).isEqualTo(ClaimOutcome.Status.RUNNING);
        CallOutcome answer =
                new CallOutcome(call, new AttemptId(mA.mSelf, 1), 200, "text/plain", "released");
        mA.mRequests.recordOutcome(mNowMs, answer, (atMs, recorded) -> {});
        run(1_000);

        assertThat(mB.claim(call, 2)).isEqualTo(ClaimOutcome.recorded(answer));
    }

    /** Advances the time; a program that embeds the library calls the ticks from its own timer. */
    private void run(long durationMs) {
        long endMs = mNowMs + durationMs;
        while (mNowMs < endMs) {
            mNowMs += TICK_MS;
            for (Vm vm : List.of(mA, mB)) {
                vm.mBudgets.tick(mNowMs);
                vm.mRequests.tick(mNowMs);
            }
        }
    }

    private void topUp(String id, long tokens) {
        AtomicReference<Either<Failure, BudgetStatement>> result = new AtomicReference<>();
        new BudgetAdmin(new VmId("operator", 1), mStore)
                .topUp(mNowMs, BUDGET, id, tokens, (atMs, statement) -> result.set(statement));
        assertThat(result.get().isRight()).isTrue();
    }

    private BudgetStatement statement() {
        AtomicReference<Either<Failure, List<BudgetStatement>>> result = new AtomicReference<>();
        run(20_000);
        new BudgetAdmin(new VmId("operator", 1), mStore)
                .statement(mNowMs, BUDGET.organisation(), (atMs, list) -> result.set(list));
        return result.get().get().get(0);
    }

    /** Fixed members that all use the platform; a real fleet would use its membership. */
    private record StaticHomes(List<VmId> live) implements BudgetHomes {
        @Override
        public List<VmId> homes(OrganisationId organisation) {
            return live;
        }
    }

    /** A network without peers; the platform alone is sufficient for correctness. */
    private static final class NoPeers implements PeerNetwork {
        @Override
        public void send(String vmName, PeerMessage message) {}

        @Override
        public void request(
                long nowMs,
                String vmName,
                PeerMessage request,
                long timeoutMs,
                BiConsumer<Long, Either<Failure, PeerMessage>> done) {
            Failure failure = Failure.of(ErrorKind.DEADLINE_EXCEEDED, "no peers");
            done.accept(nowMs, Either.left(failure));
        }
    }
}
