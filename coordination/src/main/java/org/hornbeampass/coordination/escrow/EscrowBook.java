package org.hornbeampass.coordination.escrow;

import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.state.service.PrepaidOrganisation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * Holds the prepaid budgets of one incarnation of a VM.
 *
 * <p>Invariants: a request is admitted only against tokens that the store is known to have granted
 * to this incarnation, and no clock, lease or peer makes used tokens available again, so that an
 * organisation cannot overspend whatever fails. The maximum tokens of a request are reserved before
 * it is sent, and settled once. Not thread-safe; the platform must reply on the thread that uses
 * this object.
 */
public final class EscrowBook {
    private final EscrowOwner mOwner;
    private final GrantListener mListener;
    private final List<EscrowShard> mShards = new ArrayList<>();
    private final Map<String, Long> mPrepaid = new HashMap<>();

    /**
     * Creates a book without grants that uses {@link GrantPolicy#DEMAND_HORIZON}.
     *
     * @param platform the store; must reply on this book's thread
     * @param owner the VM incarnation that holds the grants
     * @param shards the number of store records that the organisations are divided among; must be
     *     the same on all VMs and never change
     * @param homes which VMs are homes of the pools
     * @param listener is notified of each change of a grant
     */
    public EscrowBook(
            Platform platform,
            EscrowOwner owner,
            int shards,
            PoolHomes homes,
            GrantListener listener) {
        this(platform, owner, shards, homes, GrantPolicy.DEMAND_HORIZON, listener);
    }

    /** Creates a book with another grant policy, to compare policies. */
    EscrowBook(
            Platform platform,
            EscrowOwner owner,
            int shards,
            PoolHomes homes,
            GrantPolicy policy,
            GrantListener listener) {
        mOwner = owner;
        mListener = listener;
        for (int i = 0; i < shards; i++) {
            mShards.add(new EscrowShard(platform, owner, i, homes, policy, listener));
        }
    }

    /** Sets the listener that receives each record that this VM has written, to tell the homes. */
    void setNoticeListener(Consumer<RecordNotice> listener) {
        mShards.forEach(s -> s.setNoticeListener(listener));
    }

    /** Receives the record that another home has written. */
    void onNotice(RecordNotice notice) {
        if (notice.pool() >= 0 && notice.pool() < mShards.size()) {
            mShards.get(notice.pool()).onNotice(notice);
        }
    }

    /**
     * Handles that the store was restored from an older copy, which may have forgotten grants.
     *
     * @param nowMs the current time in milliseconds
     * @param era the store's present era
     */
    public void onEra(long nowMs, long era) {
        mShards.forEach(s -> s.onEra(nowMs, era));
    }

    /** Returns the VM incarnation that holds the grants. */
    public EscrowOwner owner() {
        return mOwner;
    }

    /** Applies the budgets of a newer configuration. They are absolute sizes, not increments. */
    public void onOrganisations(List<PrepaidOrganisation> organisations) {
        mPrepaid.clear();
        for (PrepaidOrganisation each : organisations) {
            each.prepaidTokens().ifPresent(t -> mPrepaid.put(each.name(), t));
        }
        mPrepaid.forEach((name, tokens) -> shard(name).setPrepaid(name, tokens));
    }

    /**
     * Tries to reserve the maximum tokens that a request may use.
     *
     * @param nowMs the current time in milliseconds
     * @param organisation the organisation's name
     * @param tokens the tokens to reserve
     */
    public Admission admit(long nowMs, String organisation, long tokens) {
        if (tokens == 0 || !mPrepaid.containsKey(organisation)) {
            return Admission.UNMETERED;
        }
        return shard(organisation).admit(nowMs, organisation, tokens);
    }

    /**
     * Settles a request and releases the tokens that it did not use.
     *
     * @param nowMs the current time in milliseconds
     * @param organisation the organisation's name
     * @param reserved the tokens that were reserved for the request
     * @param used the tokens that the request used
     */
    public void settle(long nowMs, String organisation, long reserved, long used) {
        if (reserved > 0) {
            shard(organisation).settle(nowMs, organisation, reserved, used);
        }
    }

    /**
     * Returns whether the next exchange with the store may yield tokens for a request that was just
     * not admitted, or confirm that there are none.
     *
     * @param nowMs the current time in milliseconds
     * @param organisation the organisation's name
     * @param tokens the tokens that the request needs
     */
    public boolean mayObtainTokens(long nowMs, String organisation, long tokens) {
        return shard(organisation).mayObtainTokens(nowMs, organisation, tokens);
    }

    /** Returns whether the store is unreachable for an organisation's budget. */
    public boolean isStoreUnreachable(long nowMs, String organisation) {
        return shard(organisation).isStoreUnreachableFor(nowMs, organisation);
    }

    /**
     * Runs an action once after the next exchange with the store about an organisation's budget.
     */
    public void afterNextExchange(long nowMs, String organisation, Runnable action) {
        shard(organisation).afterNextExchange(nowMs, action);
    }

    /** Returns what is notified of loans. */
    GrantListener listener() {
        return mListener;
    }

    /** Returns the tokens that each organisation lacks here while the store is unreachable. */
    Map<String, Long> shortfalls(long nowMs) {
        Map<String, Long> shortfalls = new HashMap<>();
        mShards.forEach(s -> s.addShortfalls(nowMs, shortfalls));
        return shortfalls;
    }

    /** Lends tokens to another VM, immediately or after an exchange with the store. */
    void lend(long nowMs, LoanRequest request, Consumer<LoanReply> done) {
        String organisation = request.organisation();
        if (!mPrepaid.containsKey(organisation)) {
            done.accept(new LoanReply(organisation, 0, BudgetStatus.UNKNOWN));
            return;
        }
        EscrowShard shard = shard(organisation);
        if (!request.waiting()) {
            long tokens = shard.lendAhead(nowMs, request);
            done.accept(new LoanReply(organisation, tokens, shard.status(nowMs, organisation)));
            return;
        }
        shard.lendToWaiting(
                nowMs,
                request,
                tokens ->
                        done.accept(
                                new LoanReply(
                                        organisation, tokens, shard.status(nowMs, organisation))));
    }

    /** Applies the reply of another VM to a loan request. */
    void onLoanReply(long nowMs, LoanReply reply) {
        shard(reply.organisation()).onPeerStatus(nowMs, reply.organisation(), reply.status());
        if (reply.tokens() > 0) {
            borrow(nowMs, reply.organisation(), reply.tokens());
        }
    }

    /** Returns the tokens to request from other VMs beyond those that a request needs. */
    long extraTokens(long nowMs, String organisation) {
        return shard(organisation).extraTokens(nowMs, organisation);
    }

    /**
     * Allows this VM to exchange with the store about a budget for a limited time, since it knows
     * no other VM, or since no home answers or reaches the store.
     *
     * @return whether it is worth waiting for the exchange
     */
    boolean allowStoreExchangesWithoutHomes(long nowMs, String organisation) {
        return shard(organisation).allowStoreExchangesWithoutHomes(nowMs);
    }

    /** Makes the next exchange with the store obtain the tokens that requests wait for. */
    void requireTokens(long nowMs, String organisation, long tokens) {
        shard(organisation).requireTokens(nowMs, organisation, tokens);
    }

    /** Returns the number of the pool that an organisation's budget belongs to. */
    int pool(String organisation) {
        return Math.floorMod(organisation.hashCode(), mShards.size());
    }

    /** Returns one organisation of each pool that contains any, by pool number. */
    Map<Integer, String> organisationOfEachPool() {
        Map<Integer, String> names = new HashMap<>();
        mPrepaid.keySet().forEach(o -> names.putIfAbsent(pool(o), o));
        return names;
    }

    /** Deducts and returns the tokens to transfer to the homes, by pool number. */
    Map<Integer, List<TokenTransfer>> takeTransfers(long nowMs) {
        Map<Integer, List<TokenTransfer>> transfers = new HashMap<>();
        for (int i = 0; i < mShards.size(); i++) {
            transfers.put(i, mShards.get(i).takeTransfers(nowMs));
        }
        return transfers;
    }

    /** Returns the tokens that requests of an organisation can reserve here. */
    long free(String organisation) {
        return mPrepaid.containsKey(organisation) ? shard(organisation).free(organisation) : 0;
    }

    /** Adds tokens that another VM has deducted from its account. */
    void borrow(long nowMs, String organisation, long tokens) {
        shard(organisation).borrow(organisation, tokens);
        mListener.onLoan(nowMs, organisation, tokens);
    }

    /** Applies a transfer from another VM. Ignored if the organisation is unknown. */
    void onTransfer(long nowMs, TokenTransfer transfer) {
        if (mPrepaid.containsKey(transfer.organisation())) {
            shard(transfer.organisation()).acceptTransfer(nowMs, transfer);
        }
    }

    /** Starts the exchanges with the store that are due. */
    public void tick(long nowMs) {
        mShards.forEach(s -> s.tick(nowMs));
    }

    /**
     * Returns all unused tokens to the store, now and, as requests in progress end, at each later
     * tick. No further tokens are granted to this VM.
     */
    public void startReturningTokens(long nowMs) {
        mShards.forEach(s -> s.startReturningTokens(nowMs));
    }

    /** Returns whether there are no more tokens to return. */
    public boolean hasReturnedAllTokens() {
        return mShards.stream().allMatch(EscrowShard::hasReturnedAllTokens);
    }

    /** Returns the free, granted and spent tokens of each organisation, for metrics. */
    public Map<String, Holding> holdings() {
        Map<String, Holding> holdings = new HashMap<>();
        mShards.forEach(s -> s.addHoldings(holdings));
        return holdings;
    }

    /**
     * Returns the state that decides whether requests of an organisation are admitted, for logs.
     */
    public AdmissionState admissionState(long nowMs, String organisation) {
        return shard(organisation).admissionState(nowMs, organisation);
    }

    /**
     * The state that decides whether requests of one organisation are admitted.
     *
     * @param free the tokens that can be reserved here
     * @param unallocated the tokens that are not granted to any VM, as last read by this VM
     * @param unspent the tokens not known to be spent by any VM, by the newest known reply
     * @param writtenOff the tokens among them that ended incarnations held and that no VM can
     *     spend, as last read by this VM
     * @param storeReplyAgeMs the time since the store last replied, in milliseconds; empty if it
     *     never did
     * @param knowledgeAgeMs the age of the newest known reply of the store to any VM, which decides
     *     whether the budget is used up, in milliseconds; empty if none is known
     * @param storeUnreachable whether the store is currently unreachable
     */
    public record AdmissionState(
            long free,
            long unallocated,
            long unspent,
            long writtenOff,
            OptionalLong storeReplyAgeMs,
            OptionalLong knowledgeAgeMs,
            boolean storeUnreachable) {}

    /**
     * The tokens that this VM holds of one budget.
     *
     * @param granted all tokens granted to this incarnation
     * @param free the tokens that can be reserved
     * @param spent the tokens that requests used
     */
    public record Holding(long granted, long free, long spent) {}

    private EscrowShard shard(String organisation) {
        return mShards.get(pool(organisation));
    }
}
