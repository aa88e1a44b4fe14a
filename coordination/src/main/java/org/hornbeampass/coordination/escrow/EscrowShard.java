package org.hornbeampass.coordination.escrow;

import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.coordination.platform.PlatformReply.StoredObject;
import org.hornbeampass.state.Json;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.IntSupplier;

/**
 * The budgets that lie in one record of the store.
 *
 * <p>Invariants: at most one call is open; a limit is raised only once the store is known to hold
 * the grant, and lowered before the lower grant is sent; while a write may still be carried out, no
 * read of the version on which it was based raises a limit. Confined to one thread.
 */
final class EscrowShard {
    /** How long to wait after a failed call; calls are priced, and outages last seconds. */
    private static final long RETRY_MS = 400;

    /** How often spending is reported while there is some, so that a budget's end is known. */
    private static final long REPORT_MS = 3_000;

    /**
     * How often the store is looked at for an organisation whose requests were refused without a
     * proof: often enough that the next refusal is a proof, where there is one.
     */
    private static final long LOOK_PAUSE_MS = KnownBudgets.PROOF_MS / 2;

    /**
     * For how long the store is looked at after the last such refusal, in milliseconds: callers
     * come back within their own time limit, which is 12 s at the most on the sheets at hand.
     */
    private static final long LOOK_MS = 12_000;

    /** The shortest pause between exchanges that no request waits for. */
    private static final long PAUSE_MS = 500;

    /** The pause between returns of what requests in progress leave at a shutdown. */
    private static final long RETURN_PAUSE_MS = 200;

    /** A call that takes longer is no reason for a request to wait; answers take milliseconds. */
    private static final long ANSWER_MS = 150;

    private final Platform mPlatform;
    private final EscrowOwner mOwner;
    private final String mKey;
    private final GrantListener mListener;
    private final Map<String, EscrowAccount> mAccounts = new HashMap<>();
    private final GrantPlan mPlan;
    private final KnownBudgets mKnown = new KnownBudgets();
    private final List<Runnable> mWaiting = new ArrayList<>();

    private boolean mOpen;
    private boolean mPeeking;
    private long mOpenedMs;
    private boolean mVersionKnown;
    private boolean mFailing;
    private boolean mMustCreate;
    private boolean mGivingBack;
    private long mVersion;
    private long mUncertainBase = -1;
    private EscrowRecord mWritten = EscrowRecord.empty();
    private long mNotBeforeMs = Long.MIN_VALUE;
    private long mExchangedMs = Long.MIN_VALUE / 2;

    EscrowShard(
            Platform platform,
            EscrowOwner owner,
            int number,
            IntSupplier vms,
            GrantPolicy policy,
            GrantListener listener) {
        mListener = listener;
        mPlatform = platform;
        mOwner = owner;
        mKey = "budgets/shard-" + number;
        mPlan = new GrantPlan(owner, mKnown, mAccounts, policy, vms);
    }

    void setPrepaid(String organisation, long tokens) {
        mKnown.setPrepaid(organisation, tokens);
        mAccounts.computeIfAbsent(organisation, o -> new EscrowAccount());
    }

    Admission admit(long nowMs, String organisation, long tokens) {
        EscrowAccount account = mAccounts.get(organisation);
        if (account.reserve(tokens)) {
            return Admission.RESERVED;
        }
        boolean provable = tokens > unspent(organisation);
        if (provable && mKnown.fresh(nowMs)) {
            return Admission.EXHAUSTED;
        }
        account.want(tokens, nowMs + LOOK_MS);
        return Admission.SHORT;
    }

    private long unspent(String organisation) {
        return mKnown.unspent(organisation, mAccounts.get(organisation));
    }

    /**
     * Returns whether the store can be reached and may have the tokens that a request waits for, or
     * the proof that there are none.
     */
    boolean mayGet(long nowMs, String organisation, long tokens) {
        if (!mVersionKnown || outOfReach(nowMs)) {
            return false;
        }
        boolean provable = tokens > unspent(organisation);
        return mayHave(organisation, tokens) || (provable && !mKnown.fresh(nowMs));
    }

    private boolean mayHave(String organisation, long tokens) {
        return mKnown.unallocated(organisation) + mAccounts.get(organisation).free() >= tokens;
    }

    /** Returns whether a request waits for tokens that the store may have. */
    private boolean hasWanted(String organisation) {
        OptionalLong least = mAccounts.get(organisation).leastWanted();
        return least.isPresent() && mayHave(organisation, least.getAsLong());
    }

    /** Returns whether calls to the store fail, or go without an answer for too long. */
    boolean outOfReach(long nowMs) {
        return mFailing || (mOpen && nowMs - mOpenedMs >= ANSWER_MS);
    }

    /** Adds the tokens that organisations lack here while the store is out of reach. */
    void addLacking(long nowMs, Map<String, Long> lacking) {
        if (!outOfReach(nowMs) || mGivingBack) {
            return;
        }
        for (String organisation : mKnown.organisations()) {
            EscrowAccount account = mAccounts.get(organisation);
            long target = Math.max(account.wanted(), mPlan.target(nowMs, organisation));
            if (account.free() < target / 2) {
                lacking.put(organisation, target - account.free());
            }
        }
    }

    /**
     * Takes out tokens for requests that will come to another VM: up to half of what is free, where
     * the store can replace them. VMs that all miss the store would only pass tokens round.
     */
    long lendAhead(long nowMs, String organisation, long tokens) {
        if (outOfReach(nowMs)) {
            return 0;
        }
        return lend(organisation, tokens, mAccounts.get(organisation).free() / 2);
    }

    /**
     * Takes out tokens for requests that wait at another VM: all that are free. A request that is
     * here is worth as much as one that may come later, which can borrow in its turn.
     */
    long lendToWaiting(String organisation, long tokens) {
        return lend(organisation, tokens, mAccounts.get(organisation).free());
    }

    private long lend(String organisation, long tokens, long spare) {
        if (mGivingBack) {
            return 0;
        }
        long lent = Math.max(0, Math.min(tokens, spare));
        mAccounts.get(organisation).lend(lent);
        return lent;
    }

    long free(String organisation) {
        return mAccounts.get(organisation).free();
    }

    void borrow(String organisation, long tokens) {
        mAccounts.get(organisation).borrow(tokens);
        runWaiting();
    }

    void settle(long nowMs, String organisation, long reserved, long used) {
        mAccounts.get(organisation).settle(nowMs, reserved, used);
    }

    void afterNextExchange(long nowMs, Runnable action) {
        mWaiting.add(action);
        tick(nowMs);
    }

    void giveBack(long nowMs) {
        mGivingBack = true;
        tick(nowMs);
    }

    boolean givenBack() {
        return mAccounts.values().stream().noneMatch(EscrowAccount::owesStore);
    }

    /** Takes out the free tokens of a VM that shuts down and can't return them to the store. */
    void takeGifts(long nowMs, Map<String, Long> gifts) {
        if (!mGivingBack || !outOfReach(nowMs)) {
            return;
        }
        mAccounts.forEach(
                (organisation, account) -> {
                    long free = account.free();
                    if (free > 0) {
                        account.lend(free);
                        gifts.put(organisation, free);
                    }
                });
    }

    EscrowBook.Standing standing(long nowMs, String organisation) {
        return new EscrowBook.Standing(
                free(organisation),
                mKnown.unallocated(organisation),
                unspent(organisation),
                mKnown.heardAgoMs(nowMs),
                outOfReach(nowMs));
    }

    void addHoldings(Map<String, EscrowBook.Holding> holdings) {
        mAccounts.forEach(
                (name, a) ->
                        holdings.put(name, new EscrowBook.Holding(a.limit(), a.free(), a.spent())));
    }

    void tick(long nowMs) {
        if (mOpen || mKnown.organisations().isEmpty() || nowMs < mNotBeforeMs || !due(nowMs)) {
            return;
        }
        if (!mVersionKnown) {
            submit(nowMs, new PlatformCall.Get(mKey));
            return;
        }
        mPeeking = true;
        submit(nowMs, new PlatformCall.Get(mKey, true));
    }

    private boolean due(long nowMs) {
        long sinceMs = nowMs - mExchangedMs;
        if (mGivingBack) {
            return sinceMs >= RETURN_PAUSE_MS && !givenBack();
        }
        boolean hopeful = mKnown.organisations().stream().anyMatch(this::hasWanted);
        if (hopeful) {
            return true;
        }
        if (sinceMs < PAUSE_MS) {
            return false;
        }
        if (!mWaiting.isEmpty()) {
            return true;
        }
        boolean report = nowMs - mExchangedMs >= REPORT_MS;
        return mKnown.organisations().stream().anyMatch(o -> wants(nowMs, o, report));
    }

    private boolean wants(long nowMs, String organisation, boolean report) {
        EscrowAccount account = mAccounts.get(organisation);
        if (!mKnown.isSeen()
                || (account.looks(nowMs) && !mKnown.heardWithin(nowMs, LOOK_PAUSE_MS))) {
            return true;
        }
        if (report && account.spent() > account.reportedSpent()) {
            return true;
        }
        long target = mPlan.target(nowMs, organisation);
        boolean low =
                account.free() < target / 2 && mPlan.takes(organisation, target - account.free());
        return low || mPlan.returns(organisation, target, account.free() - target);
    }

    private void write(long nowMs) {
        EscrowRecord next = mPlan.next(nowMs, mGivingBack);
        for (String organisation : mKnown.organisations()) {
            EscrowAccount account = mAccounts.get(organisation);
            account.setLimit(Math.min(account.limit(), mPlan.ownGrant(next, organisation)));
        }
        mUncertainBase = mVersion;
        mWritten = next;
        String value = Json.encode(next);
        submit(
                nowMs,
                mMustCreate
                        ? new PlatformCall.Create(mKey, value)
                        : new PlatformCall.Update(mKey, value, mVersion));
    }

    private void submit(long nowMs, PlatformCall call) {
        mOpen = true;
        mOpenedMs = nowMs;
        mPlatform.submit(nowMs, call, this::replied);
    }

    private void replied(long nowMs, PlatformReply reply) {
        mOpen = false;
        boolean peeked = mPeeking;
        mPeeking = false;
        mFailing =
                reply instanceof PlatformReply.Throttled
                        || reply instanceof PlatformReply.Unavailable;
        if (reply instanceof PlatformReply.Written written) {
            mKnown.heard(nowMs);
            mUncertainBase = -1;
            mMustCreate = false;
            mVersion = written.version();
            mKnown.setRecord(mWritten);
            settled(nowMs);
            return;
        }
        if (peeked && !mFailing) {
            takePeek(reply);
            write(nowMs);
            return;
        }
        if (reply instanceof PlatformReply.Found found) {
            take(nowMs, found.object());
            return;
        }
        if (reply instanceof PlatformReply.Missing) {
            mKnown.heard(nowMs);
            mVersionKnown = true;
            mMustCreate = true;
            write(nowMs);
            return;
        }
        if (reply instanceof PlatformReply.Conflict conflict && conflict.current().isPresent()) {
            mMustCreate = false;
            take(nowMs, conflict.current().get());
            return;
        }
        mVersionKnown = false;
        mNotBeforeMs = nowMs + RETRY_MS;
        runWaiting();
    }

    /**
     * Takes in a version that may be old, only as the base of the next write: the store carries
     * that out only if it was not. No limit changes by it, nor does it count as news. A write at a
     * version that another VM has replaced costs two calls; more than half of them did.
     */
    private void takePeek(PlatformReply reply) {
        boolean newer =
                reply instanceof PlatformReply.Found found && found.object().version() > mVersion;
        if (!newer) {
            return;
        }
        StoredObject object = ((PlatformReply.Found) reply).object();
        mVersion = object.version();
        mMustCreate = false;
        mKnown.setRecord(decode(object));
    }

    private EscrowRecord decode(StoredObject object) {
        return Json.decode(object.value(), EscrowRecord.class)
                .getOrElseThrow(f -> new IllegalStateException(mKey + ": " + f.message()));
    }

    /** Takes the record in as it is, and goes on with a write where one is due. */
    private void take(long nowMs, StoredObject object) {
        mKnown.heard(nowMs);
        mVersionKnown = true;
        mVersion = object.version();
        mKnown.setRecord(decode(object));
        adopt(nowMs, mVersion == mUncertainBase);
        write(nowMs);
    }

    private void settled(long nowMs) {
        mExchangedMs = nowMs;
        adopt(nowMs, false);
        mAccounts.values().forEach(EscrowAccount::forgetWanted);
        runWaiting();
    }

    private void adopt(long nowMs, boolean writeStillOpen) {
        mKnown.seen();
        mKnown.organisations().forEach(name -> adopt(nowMs, name, writeStillOpen));
    }

    private void adopt(long nowMs, String organisation, boolean writeStillOpen) {
        EscrowRecord.Organisation stored = mKnown.stored(organisation);
        EscrowRecord.Holder own = stored.holders().get(mOwner.incarnation());
        long granted = own == null ? 0 : own.granted();
        EscrowAccount account = mAccounts.get(organisation);
        long before = account.granted();
        account.onStored(
                granted,
                writeStillOpen ? Math.min(granted, account.limit()) : granted,
                own == null ? 0 : own.spent());
        if (before == granted) {
            return;
        }
        mListener.onGrant(
                nowMs,
                organisation,
                new GrantListener.Change(
                        before,
                        granted,
                        account.free(),
                        mKnown.unallocated(organisation),
                        mKnown.prepaid(organisation) - stored.spent()));
    }

    private void runWaiting() {
        List<Runnable> waiting = List.copyOf(mWaiting);
        mWaiting.clear();
        waiting.forEach(Runnable::run);
    }
}
