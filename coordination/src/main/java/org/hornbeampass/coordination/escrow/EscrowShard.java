package org.hornbeampass.coordination.escrow;

import org.hornbeampass.coordination.platform.Platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.LongConsumer;

/**
 * The budgets that lie in one record of the store.
 *
 * <p>Invariants: a limit is raised only once the store is known to hold the grant, and lowered
 * before the lower grant is sent; while a write may still be carried out, no read of the version on
 * which it was based raises a limit. Confined to one thread.
 */
final class EscrowShard implements RecordExchange.Side {
    /** How often spending is reported at most, so that a budget's end is known. */
    private static final long REPORT_MS = 3_000;

    /**
     * The part of what is unspent that is worth a report by itself: while most of a budget is
     * there, nobody needs to know how much exactly.
     */
    private static final long REPORTED_PART = 50;

    /**
     * For how long a VM that is no home exchanges with the store after it was asked for tokens as
     * if it were one, or found no home that answers, in milliseconds: until members are known.
     */
    private static final long SERVES_MS = 3_000;

    /**
     * How long an exchange may take before another VM that waits for it is answered with what is
     * there, in milliseconds; it gives up after {@link LoanSearch#TIMEOUT_MS}, and what it is lent
     * later is lost.
     */
    private static final long ASKED_WAIT_MS = 60;

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

    /**
     * The shortest pause between exchanges, in milliseconds, so that requests that wait at a home
     * are served by one of them also where it holds less than one of them needs. Its gain was not
     * measured apart.
     */
    private static final long GATHER_MS = 50;

    /** The shortest pause between exchanges that no request waits for. */
    private static final long PAUSE_MS = 500;

    /** The pause between returns of what requests in progress leave at a shutdown. */
    private static final long RETURN_PAUSE_MS = 200;

    /** A call that takes longer is no reason for a request to wait; answers take milliseconds. */
    private static final long ANSWER_MS = 150;

    private final EscrowOwner mOwner;
    private final GrantListener mListener;
    private final Map<String, EscrowAccount> mAccounts = new HashMap<>();
    private final GrantPlan mPlan;
    private final KnownBudgets mKnown = new KnownBudgets();
    private final ShardLending mLending;
    private final PoolHomes mHomes;
    private final int mNumber;
    private final List<Runnable> mWaiting = new ArrayList<>();
    private final List<Runnable> mAsked = new ArrayList<>();

    private final RecordExchange mExchange;
    private boolean mGivingBack;
    private long mExchangedMs = Long.MIN_VALUE / 2;
    private long mServesUntilMs = Long.MIN_VALUE;

    EscrowShard(
            Platform platform,
            EscrowOwner owner,
            int number,
            PoolHomes homes,
            GrantPolicy policy,
            GrantListener listener) {
        mHomes = homes;
        mNumber = number;
        mListener = listener;
        mOwner = owner;
        mPlan = new GrantPlan(owner, mKnown, mAccounts, policy, homes, number);
        mLending = new ShardLending(mAccounts, mKnown, mPlan, homes, number);
        long seed = (long) owner.incarnation().hashCode() + number;
        mExchange = new RecordExchange(platform, "budgets/shard-" + number, mKnown, seed, this);
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
        if (provable && mKnown.fresh(nowMs, organisation)) {
            return Admission.EXHAUSTED;
        }
        account.want(tokens, nowMs + LOOK_MS);
        return Admission.INSUFFICIENT_HERE;
    }

    private long unspent(String organisation) {
        return mKnown.unspent(organisation, mAccounts.get(organisation));
    }

    /**
     * Returns whether the store can be reached and may have the tokens that a request waits for, or
     * the proof that there are none.
     */
    boolean mayGet(long nowMs, String organisation, long tokens) {
        if (!mExchange.versionKnown() || outOfReach(nowMs) || !exchanges(nowMs)) {
            return false;
        }
        boolean provable = tokens > unspent(organisation);
        return mayHave(organisation, tokens) || (provable && !mKnown.fresh(nowMs, organisation));
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
        return mExchange.failing() || mExchange.openForMs(nowMs) >= ANSWER_MS;
    }

    /** Returns whether the store is out of reach here, or at the home that told of it last. */
    boolean lostFor(long nowMs, String organisation) {
        return outOfReach(nowMs) || mKnown.toldStoreLost(organisation);
    }

    /** Adds the tokens that organisations lack here while the store is out of reach. */
    void addLacking(long nowMs, Map<String, Long> lacking) {
        if (outOfReach(nowMs) && !mGivingBack) {
            mLending.addLacking(nowMs, lacking);
        }
    }

    /**
     * Takes out tokens for requests that will come to another VM, where the store replaces them.
     */
    long lendAhead(long nowMs, LoanRequest request) {
        return outOfReach(nowMs) || mGivingBack ? 0 : mLending.lendAhead(nowMs, request);
    }

    /**
     * Takes out tokens for requests that wait at another VM; where there are too few, and the store
     * may have more, after the next exchange with it.
     */
    void lendToWaiting(long nowMs, LoanRequest request, LongConsumer done) {
        if (mGivingBack) {
            done.accept(0);
            return;
        }
        String organisation = request.organisation();
        EscrowAccount account = mAccounts.get(organisation);
        if (request.atHome()) {
            serveItself(nowMs);
        }
        boolean enough = account.free() >= request.needed();
        if (enough || !mayGet(nowMs, organisation, request.needed())) {
            done.accept(mLending.lendToWaiting(nowMs, request));
            return;
        }
        account.want(request.needed(), nowMs + LOOK_MS);
        mAsked.add(() -> done.accept(mLending.lendToWaiting(nowMs, request)));
        tick(nowMs);
    }

    /** Returns how many tokens to ask other VMs for beyond those that a request needs. */
    long ahead(long nowMs, String organisation) {
        return mLending.ahead(nowMs, organisation);
    }

    /** Lets this VM exchange with the store for a while, since no home answers. */
    void serveItself(long nowMs) {
        mServesUntilMs = nowMs + SERVES_MS;
    }

    /**
     * Lets a VM that knows no other exchange with the store for what its requests need, and for no
     * more, since it is no home. A VM knows nobody for up to a second after all have lost power.
     *
     * @return whether it is worth waiting for the next exchange: not where the store is out of
     *     reach, or is being asked already and lacks the tokens
     */
    boolean serveAlone(long nowMs) {
        boolean helps = !outOfReach(nowMs) && !(exchanges(nowMs) && mExchange.versionKnown());
        if (helps) {
            serveItself(nowMs);
        }
        return helps;
    }

    BudgetStatus status(long nowMs, String organisation) {
        return mKnown.status(nowMs, organisation, outOfReach(nowMs));
    }

    void tell(long nowMs, String organisation, BudgetStatus status) {
        mKnown.tell(nowMs, organisation, status);
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
        if (!mHomes.isHome(mNumber) && !mHomes.otherHomes(mNumber).isEmpty()) {
            return mLending.handedOver();
        }
        return mAccounts.values().stream().noneMatch(EscrowAccount::owesStore);
    }

    /** Takes out what this VM hands to a home. */
    List<TokenTransfer> takeGifts(long nowMs) {
        return mLending.takeGifts(nowMs, mGivingBack, () -> !outOfReach(nowMs));
    }

    void takeOver(long nowMs, TokenTransfer gift) {
        mAccounts.get(gift.organisation()).takeOver(nowMs, gift.tokens(), gift.spent());
        runWaiting();
    }

    EscrowBook.AdmissionState standing(long nowMs, String organisation) {
        return new EscrowBook.AdmissionState(
                free(organisation),
                mKnown.unallocated(organisation),
                unspent(organisation),
                mKnown.heardAgoMs(nowMs),
                lostFor(nowMs, organisation));
    }

    void addHoldings(Map<String, EscrowBook.Holding> holdings) {
        mAccounts.forEach(
                (name, a) ->
                        holdings.put(name, new EscrowBook.Holding(a.limit(), a.free(), a.spent())));
    }

    void tick(long nowMs) {
        if (mExchange.openForMs(nowMs) >= ASKED_WAIT_MS) {
            run(mAsked);
        }
        if (!mKnown.organisations().isEmpty() && mExchange.ready(nowMs) && due(nowMs)) {
            mExchange.start(nowMs);
        }
    }

    private boolean due(long nowMs) {
        long sinceMs = nowMs - mExchangedMs;
        if (mGivingBack) {
            return exchanges(nowMs) && sinceMs >= RETURN_PAUSE_MS && !givenBack();
        }
        if (!exchanges(nowMs) || sinceMs < GATHER_MS) {
            return false;
        }
        boolean hopeful = mKnown.organisations().stream().anyMatch(this::hasWanted);
        if (hopeful) {
            return true;
        }
        if (sinceMs < PAUSE_MS) {
            return false;
        }
        if (!mWaiting.isEmpty() || !mAsked.isEmpty()) {
            return true;
        }
        boolean report = nowMs - mExchangedMs >= REPORT_MS;
        return mKnown.organisations().stream().anyMatch(o -> wants(nowMs, o, report));
    }

    /** Returns whether this VM is one of those that exchange with the store. */
    private boolean exchanges(long nowMs) {
        return nowMs < mServesUntilMs || mHomes.isHome(mNumber);
    }

    private boolean wants(long nowMs, String organisation, boolean report) {
        EscrowAccount account = mAccounts.get(organisation);
        if (!mKnown.isSeen()
                || (account.looks(nowMs) && !mKnown.heardWithin(nowMs, LOOK_PAUSE_MS))) {
            return true;
        }
        if (report && worthReporting(account, organisation)) {
            return true;
        }
        long target = mPlan.target(nowMs, organisation);
        boolean low =
                account.free() < target / 2 && mPlan.takes(organisation, target - account.free());
        return low || mPlan.returns(organisation, target, returnable(account, target));
    }

    /**
     * Returns what this VM can return to the store: only what the store has granted to it. What
     * others handed over stays for their requests; homes that held such tokens wrote the same
     * record every 600 ms.
     */
    private static long returnable(EscrowAccount account, long target) {
        return Math.min(account.free() - target, account.granted());
    }

    /** Returns whether a budget's end would be known noticeably later without a report. */
    private boolean worthReporting(EscrowAccount account, String organisation) {
        long unreported = account.spent() - account.reportedSpent();
        return unreported > 0 && unreported >= unspent(organisation) / REPORTED_PART;
    }

    @Override
    public EscrowRecord onWriting(long nowMs) {
        EscrowRecord next = mPlan.next(nowMs, mGivingBack);
        for (String organisation : mKnown.organisations()) {
            EscrowAccount account = mAccounts.get(organisation);
            account.setLimit(Math.min(account.limit(), mPlan.ownGrant(next, organisation)));
            account.onWriting();
        }
        return next;
    }

    @Override
    public void onWritten(long nowMs) {
        mExchangedMs = nowMs;
        onRecord(nowMs, false);
        mAccounts.values().forEach(EscrowAccount::forgetWanted);
        runWaiting();
    }

    @Override
    public void onFailed(long nowMs) {
        runWaiting();
    }

    @Override
    public void onRecord(long nowMs, boolean writeStillOpen) {
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
        run(mWaiting);
        run(mAsked);
    }

    private static void run(List<Runnable> actions) {
        List<Runnable> due = List.copyOf(actions);
        actions.clear();
        due.forEach(Runnable::run);
    }
}
