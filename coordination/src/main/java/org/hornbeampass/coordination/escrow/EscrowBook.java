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
 * The prepaid budgets as one incarnation of a VM holds them.
 *
 * <p>Invariants: a request is admitted only on tokens that the store is known to hold for this
 * incarnation, and no clock, lease or peer ever makes tokens free again, so that an organisation
 * can't overspend whatever fails; a request's tokens are reserved at their most before it is sent
 * and settled once. Confined to one thread: the platform must reply on it.
 */
public final class EscrowBook {
    private final EscrowOwner mOwner;
    private final GrantListener mListener;
    private final List<EscrowShard> mShards = new ArrayList<>();
    private final Map<String, Long> mPrepaid = new HashMap<>();

    /**
     * Makes a book without grants, with the policy that measured best.
     *
     * @param platform the store; must reply on this book's thread
     * @param owner who holds the grants
     * @param shards in how many records the organisations are kept; the same on all VMs for ever
     * @param homes which VMs hold the pools of tokens
     * @param listener hears of each change of a grant
     */
    public EscrowBook(
            Platform platform,
            EscrowOwner owner,
            int shards,
            PoolHomes homes,
            GrantListener listener) {
        this(platform, owner, shards, homes, GrantPolicy.DEMAND_HORIZON, listener);
    }

    /** Makes a book with a policy of its own, for comparisons. */
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

    /** Returns who holds the grants. */
    public EscrowOwner owner() {
        return mOwner;
    }

    /** Takes the budgets of a newer configuration: levels, not increments. */
    public void onOrganisations(List<PrepaidOrganisation> organisations) {
        mPrepaid.clear();
        for (PrepaidOrganisation each : organisations) {
            each.prepaidTokens().ifPresent(t -> mPrepaid.put(each.name(), t));
        }
        mPrepaid.forEach((name, tokens) -> shard(name).setPrepaid(name, tokens));
    }

    /**
     * Reserves the most tokens that a request may use.
     *
     * @param nowMs the present time in milliseconds
     * @param organisation the organisation's name
     * @param tokens how many
     */
    public Admission admit(long nowMs, String organisation, long tokens) {
        if (tokens == 0 || !mPrepaid.containsKey(organisation)) {
            return Admission.UNMETERED;
        }
        return shard(organisation).admit(nowMs, organisation, tokens);
    }

    /**
     * Settles a request: what it did not use is free again.
     *
     * @param nowMs the present time in milliseconds
     * @param organisation the organisation's name
     * @param reserved what was reserved for it
     * @param used what it used
     */
    public void settle(long nowMs, String organisation, long reserved, long used) {
        if (reserved > 0) {
            shard(organisation).settle(nowMs, organisation, reserved, used);
        }
    }

    /**
     * Returns whether it is worth waiting for the next exchange about an organisation's budget.
     *
     * @param nowMs the present time in milliseconds
     * @param organisation the organisation's name
     * @param tokens what a request lacks that was just not admitted
     */
    public boolean mayObtainTokens(long nowMs, String organisation, long tokens) {
        return shard(organisation).mayObtainTokens(nowMs, organisation, tokens);
    }

    /** Returns whether the store can't be reached about an organisation's budget. */
    public boolean isStoreUnreachable(long nowMs, String organisation) {
        return shard(organisation).isStoreUnreachableFor(nowMs, organisation);
    }

    /** Runs an action once after the next exchange about an organisation's budget. */
    public void afterNextExchange(long nowMs, String organisation, Runnable action) {
        shard(organisation).afterNextExchange(nowMs, action);
    }

    /** Returns the tokens that organisations lack here while the store is out of reach. */
    Map<String, Long> shortfalls(long nowMs) {
        Map<String, Long> shortfalls = new HashMap<>();
        mShards.forEach(s -> s.addShortfalls(nowMs, shortfalls));
        return shortfalls;
    }

    /** Takes out tokens for another VM and hands them over, now or after an exchange. */
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

    /** Takes in what another VM replied. */
    void onLoanReply(long nowMs, LoanReply reply) {
        shard(reply.organisation()).onPeerStatus(nowMs, reply.organisation(), reply.status());
        if (reply.tokens() > 0) {
            borrow(nowMs, reply.organisation(), reply.tokens());
        }
    }

    /** Returns how many tokens to ask other VMs for beyond those that a request needs. */
    long extraTokens(long nowMs, String organisation) {
        return shard(organisation).extraTokens(nowMs, organisation);
    }

    /** Lets this VM exchange with the store about a budget for a while: no home answers. */
    void allowStoreExchanges(long nowMs, String organisation) {
        shard(organisation).allowStoreExchanges(nowMs);
    }

    /** As above where no other VM is known; returns whether it is worth waiting for. */
    boolean allowStoreExchangesWithoutPeers(long nowMs, String organisation) {
        return shard(organisation).allowStoreExchangesWithoutPeers(nowMs);
    }

    /** Returns the number of the pool to which an organisation's budget belongs. */
    int pool(String organisation) {
        return Math.floorMod(organisation.hashCode(), mShards.size());
    }

    /** Returns one organisation of each pool that has any, by the number of the pool. */
    Map<Integer, String> organisationOfEachPool() {
        Map<Integer, String> names = new HashMap<>();
        mPrepaid.keySet().forEach(o -> names.putIfAbsent(pool(o), o));
        return names;
    }

    /** Takes out what this VM hands to the homes, by the number of the pool. */
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

    /** Takes in tokens that another VM has taken out. */
    void borrow(long nowMs, String organisation, long tokens) {
        shard(organisation).borrow(organisation, tokens);
        mListener.onLoan(nowMs, organisation, tokens);
    }

    /** Takes in what another VM hands over, where the organisation is known. */
    void onTransfer(long nowMs, TokenTransfer transfer) {
        if (mPrepaid.containsKey(transfer.organisation())) {
            shard(transfer.organisation()).acceptTransfer(nowMs, transfer);
        }
    }

    /** Starts what is due. */
    public void tick(long nowMs) {
        mShards.forEach(s -> s.tick(nowMs));
    }

    /**
     * Gives back all that is not in use, now and, as requests in progress end, at each tick from
     * now on; nothing new is granted.
     */
    public void startReturningTokens(long nowMs) {
        mShards.forEach(s -> s.startReturningTokens(nowMs));
    }

    /** Returns whether nothing is left to give back. */
    public boolean hasReturnedAllTokens() {
        return mShards.stream().allMatch(EscrowShard::hasReturnedAllTokens);
    }

    /** Returns the free, granted and spent tokens of each organisation, for metrics. */
    public Map<String, Holding> holdings() {
        Map<String, Holding> holdings = new HashMap<>();
        mShards.forEach(s -> s.addHoldings(holdings));
        return holdings;
    }

    /** Returns what decides on requests of an organisation now, for logs. */
    public AdmissionState admissionState(long nowMs, String organisation) {
        return shard(organisation).admissionState(nowMs, organisation);
    }

    /**
     * What decides on requests of one organisation.
     *
     * @param free the tokens that can be reserved here
     * @param unallocated the tokens that nobody holds, as last heard from the store
     * @param unspent the tokens that nobody is known to have spent, as last heard
     * @param storeReplyAgeMs how long ago that was, in milliseconds; empty where never
     * @param storeUnreachable whether the store can't be reached now
     */
    public record AdmissionState(
            long free,
            long unallocated,
            long unspent,
            OptionalLong storeReplyAgeMs,
            boolean storeUnreachable) {}

    /**
     * What this VM holds of one budget.
     *
     * @param granted all tokens granted to this incarnation
     * @param free those that can be reserved
     * @param spent those that requests used
     */
    public record Holding(long granted, long free, long spent) {}

    private EscrowShard shard(String organisation) {
        return mShards.get(pool(organisation));
    }
}
