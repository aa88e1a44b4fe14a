package org.hornbeampass.experiment.jmh;

import io.vavr.control.Either;

import org.hornbeampass.coordination.budget.BudgetAdmin;
import org.hornbeampass.coordination.budget.BudgetHomes;
import org.hornbeampass.coordination.budget.BudgetLedger;
import org.hornbeampass.coordination.budget.BudgetSettings;
import org.hornbeampass.coordination.budget.GrantPolicy;
import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.platform.MemoryPlatform;
import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.RequestId;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.budget.Reservation;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/** Measures one admission with its settlement, out of what the VM holds. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class BudgetAdmissionBenchmark {
    private static final BudgetKey KEY =
            new BudgetKey(new OrganisationId("flights"), new BudgetId("main"));
    private static final RequestId ID = new RequestId("r");

    private BudgetLedger mLedger;

    /** Lets the VM hold enough for the whole run. */
    @Setup
    public void draw() {
        VmId self = new VmId("vm0", 1);
        MemoryPlatform platform = new MemoryPlatform();
        new BudgetAdmin(self, platform).topUp(0, KEY, "t", 1_000_000_000L, (at, r) -> {});
        BudgetHomes homes =
                new BudgetHomes() {
                    @Override
                    public List<VmId> live() {
                        return List.of(self);
                    }

                    @Override
                    public List<VmId> homes(OrganisationId organisation) {
                        return List.of(self);
                    }
                };
        mLedger =
                new BudgetLedger(
                        self,
                        platform,
                        new NoPeers(),
                        homes,
                        BudgetSettings.defaults(),
                        GrantPolicy.DEMAND_HORIZON);
        mLedger.reserve(0, KEY, ID, 1_000_000, 0, (at, r) -> r.peek(x -> mLedger.cancel(0, x)));
    }

    /** Admits and settles. */
    @Benchmark
    public Either<Failure, Reservation> reserveAndSettle() {
        Either<Failure, Reservation> made = mLedger.tryReserve(0, KEY, ID, 100);
        mLedger.settle(0, made.get(), 0);
        return made;
    }

    /** A network without peers. */
    private static final class NoPeers implements PeerNetwork {
        @Override
        public void send(String vmName, PeerMessage message) {
            throw new IllegalStateException("no peer " + vmName);
        }

        @Override
        public void request(
                long nowMs,
                String vmName,
                PeerMessage request,
                long timeoutMs,
                BiConsumer<Long, Either<Failure, PeerMessage>> done) {
            throw new IllegalStateException("no peer " + vmName);
        }
    }
}
