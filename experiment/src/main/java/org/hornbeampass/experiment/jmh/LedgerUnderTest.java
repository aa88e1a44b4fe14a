package org.hornbeampass.experiment.jmh;

import io.vavr.control.Either;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.requests.LedgerSettings;
import org.hornbeampass.coordination.requests.RequestLedger;
import org.hornbeampass.coordination.requests.Retention;
import org.hornbeampass.coordination.requests.ShardOwners;
import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.RequestId;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.requests.AttemptId;
import org.hornbeampass.state.requests.Bill;
import org.hornbeampass.state.requests.RequestKey;

import java.util.List;
import java.util.function.BiConsumer;

/**
 * A request ledger that owns all its shards, fed with bills of new requests.
 *
 * <p>Not thread-safe.
 */
final class LedgerUnderTest {
    private static final int SHARDS = 16;
    private static final long COMMIT_MS = 250;
    private static final int MAX_BATCH_BYTES = 512 << 10;
    private static final long UNDATED_BYTES = 1L << 24;
    private static final VmId SELF = new VmId("vm-1", 1_764_700_000_000L);
    private static final OrganisationId ORGANISATION = new OrganisationId("organisation-17");
    private static final BudgetId BUDGET = new BudgetId("budget-3");
    private static final String DIGEST = "b1946ac92492d2347c6235b4d2611184";

    private final RequestLedger mLedger;
    private long mNowMs = 1_764_700_000_000L;
    private long mNext;
    private long mBilled;

    /** Creates a ledger that remembers ids for two stretches of {@code memoryMs}. */
    LedgerUnderTest(long memoryMs) {
        Platform platform = new ForgetfulPlatform();
        LedgerSettings settings =
                new LedgerSettings(
                        SHARDS,
                        new Retention(memoryMs, memoryMs, 0, UNDATED_BYTES, 3),
                        new LedgerSettings.Commit(COMMIT_MS, COMMIT_MS, MAX_BATCH_BYTES),
                        LedgerSettings.standard().backlog(),
                        COMMIT_MS);
        mLedger =
                new RequestLedger(
                        platform,
                        platform,
                        new NoPeers(),
                        SELF,
                        ShardOwners.rendezvous(() -> List.of(SELF)),
                        vm -> false,
                        settings,
                        1);
        mLedger.tick(mNowMs);
    }

    /** Bills new requests and commits them. */
    void bill(int bills) {
        for (int i = 0; i < bills; i++) {
            RequestKey key =
                    new RequestKey(ORGANISATION, new RequestId("request-" + mNext), DIGEST);
            Bill bill = new Bill(key, BUDGET, new AttemptId(SELF, mNext), 120, 80, mNowMs);
            mNext++;
            mLedger.bill(mNowMs, bill, (t, outcome) -> mBilled++);
        }
        mNowMs += COMMIT_MS;
        mLedger.tick(mNowMs);
    }

    /** Returns how many bills were answered. */
    long billed() {
        return mBilled;
    }

    /** A network without peers. */
    private static final class NoPeers implements PeerNetwork {
        @Override
        public void send(String vmName, PeerMessage message) {
            // There is no peer.
        }

        @Override
        public void request(
                long nowMs,
                String vmName,
                PeerMessage request,
                long timeoutMs,
                BiConsumer<Long, Either<Failure, PeerMessage>> done) {
            throw new IllegalStateException("the only VM owns every shard");
        }
    }
}
