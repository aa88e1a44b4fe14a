package org.hornbeampass.coordination.requests;

import org.hornbeampass.coordination.log.LogBatch;
import org.hornbeampass.coordination.platform.MemoryPlatform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.coordination.platform.PlatformReply.Change;
import org.hornbeampass.coordination.requests.RequestEntry.BillEntry;
import org.hornbeampass.coordination.requests.RequestEntry.ClaimEntry;
import org.hornbeampass.state.Json;
import org.hornbeampass.state.requests.AttemptId;
import org.hornbeampass.state.requests.RequestKey;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Reference model of the request log: reads everything that was written to the store, and charges
 * the first bill of a request in the log in full, and every later one by the amount that exceeds
 * all before it.
 *
 * <p>Written independently of the code under test: it has no generations and no fingerprints, and
 * never forgets an id. Not thread-safe: tests run on one thread.
 */
final class LogHistory {
    private final MemoryPlatform mStore;
    private final Set<String> mSeenKeys = new HashSet<>();
    private final Map<RequestKey, AttemptId> mFirstBills = new HashMap<>();
    private final Map<RequestKey, Long> mAmounts = new HashMap<>();
    private final Map<AttemptId, Long> mCharges = new HashMap<>();
    private final Set<AttemptId> mClaims = new HashSet<>();
    private long mReadUpToVersion;

    LogHistory(MemoryPlatform store) {
        mStore = store;
    }

    /** Reads what was written since the last call. */
    void catchUp() {
        mStore.submit(
                0,
                new PlatformCall.Watch("requests/", mReadUpToVersion, Duration.ZERO),
                (atMs, reply) -> {
                    if (reply instanceof PlatformReply.Changed changed) {
                        changed.changes().forEach(this::add);
                        mReadUpToVersion = Math.max(mReadUpToVersion, changed.upToVersion());
                    }
                });
        mStore.expireWatches(Long.MAX_VALUE);
    }

    private void add(Change change) {
        boolean batch =
                change.value().isPresent()
                        && !change.key().endsWith("~floor")
                        && !change.key().equals(SettingsAgreement.KEY);
        if (!batch || !mSeenKeys.add(change.key())) {
            return;
        }
        for (String text : Json.decode(change.value().get(), LogBatch.class).get().entries()) {
            EntryCodec.decode(text).forEach(this::add);
        }
    }

    private void add(RequestEntry entry) {
        if (entry instanceof BillEntry bill) {
            mFirstBills.putIfAbsent(bill.key(), bill.attempt());
            if (!mCharges.containsKey(bill.attempt())) {
                long before = mAmounts.getOrDefault(bill.key(), 0L);
                long amount = Math.max(before, bill.bill().tokens());
                mAmounts.put(bill.key(), amount);
                mCharges.put(bill.attempt(), amount - before);
            }
        } else if (entry instanceof ClaimEntry claim) {
            mClaims.add(claim.attempt());
        }
    }

    /** Returns whether the bill of an attempt is the first one of its request. */
    boolean isFirstBill(RequestKey key, AttemptId attempt) {
        return attempt.equals(mFirstBills.get(key));
    }

    /** Returns whether the bill of an attempt is in the log. */
    boolean hasBill(AttemptId attempt) {
        return mCharges.containsKey(attempt);
    }

    /** Returns the tokens that an attempt has to settle; 0 if its bill is not in the log. */
    long chargedTokens(AttemptId attempt) {
        return mCharges.getOrDefault(attempt, 0L);
    }

    /** Returns the bill of each request: the largest amount of its entries, in tokens. */
    Map<RequestKey, Long> amounts() {
        return mAmounts;
    }

    /** Returns whether the claim of an attempt is in the log. */
    boolean hasClaim(AttemptId attempt) {
        return mClaims.contains(attempt);
    }
}
