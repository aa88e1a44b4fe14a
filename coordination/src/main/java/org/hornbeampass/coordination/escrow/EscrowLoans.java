package org.hornbeampass.coordination.escrow;

import io.vavr.control.Either;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.VmId;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Moves unspent tokens between VMs, so that a few exchange with the store for all, and all have one
 * pool while it can't help.
 *
 * <p>A request that finds too few tokens waits for a {@link LoanSearch}, first among the homes of
 * its organisation's pool. What requests leave goes back to a home, and so does the reporting of
 * what they spent. A home that the store turns away borrows ahead from those that it serves.
 *
 * <p>Invariant: tokens are taken from the lender before they are sent, and counted by the borrower
 * once, when the reply arrives; a lost reply loses them and never doubles them. Confined to the
 * book's thread: the network must reply on it.
 */
public final class EscrowLoans {
    /** How long a reply may take, in milliseconds; peers answer within a few. */
    private static final long REPLY_TIMEOUT_MS = 500;

    /** How often loans ahead of requests are looked for, in milliseconds. */
    private static final long INTERVAL_MS = 200;

    /**
     * How long a search that found too little is not repeated, in milliseconds: an organisation
     * whose tokens are used up everywhere would have all its requests ask all VMs.
     */
    private static final long SEARCH_RETRY_MS = 300;

    /**
     * For how long a VM that did not answer is asked last, in milliseconds; it takes the fleet some
     * three seconds to see that it is gone.
     */
    private static final long UNRESPONSIVE_MS = 2_000;

    private final EscrowBook mBook;
    private final PeerNetwork mPeers;
    private final PoolHomes mHomes;
    private final RandomGenerator mRandom;
    private final Set<String> mOpenRequests = new HashSet<>();
    private final Map<String, LoanSearch> mSearches = new HashMap<>();
    private final Map<String, Long> mNextSearchMs = new HashMap<>();
    private final Map<String, String> mLastLender = new HashMap<>();
    private final Map<Integer, List<String>> mConnectedHomes = new HashMap<>();
    private final Map<String, Long> mUnresponsiveUntilMs = new HashMap<>();
    private long mNextTickMs;

    /**
     * Makes the loans of one book.
     *
     * @param book the book
     * @param peers sends messages to other VMs
     * @param homes tells which VMs hold the pools, and which others there are
     * @param random chooses whom to ask
     */
    public EscrowLoans(
            EscrowBook book, PeerNetwork peers, PoolHomes homes, RandomGenerator random) {
        mBook = book;
        mPeers = peers;
        mHomes = homes;
        mRandom = random;
    }

    /**
     * Looks for tokens at other VMs for a request that waits; at the store where none is known.
     *
     * @param nowMs the present time in milliseconds
     * @param organisation the organisation's name
     * @param tokens how many the request needs
     * @param done run once when the search is over, whatever it found; not where false is returned
     * @return whether a search is under way; false where there is no hope now
     */
    public boolean search(long nowMs, String organisation, long tokens, Runnable done) {
        LoanSearch open = mSearches.get(organisation);
        if (open != null) {
            open.addRequest(tokens, done);
            return true;
        }
        if (nowMs < mNextSearchMs.getOrDefault(organisation, Long.MIN_VALUE)) {
            return false;
        }
        List<String> homes = homesToAsk(nowMs, mBook.pool(organisation));
        List<String> order =
                LoanSearch.peerOrder(
                        homes,
                        mHomes.otherVms(),
                        mLastLender.getOrDefault(organisation, ""),
                        mRandom);
        if (order.isEmpty()) {
            return waitForStoreExchange(nowMs, organisation, done);
        }
        LoanSearch search =
                new LoanSearch(
                        mBook,
                        mPeers,
                        organisation,
                        order,
                        homes.size(),
                        (t, s) -> onSearchEnded(t, organisation, s));
        search.addRequest(tokens, done);
        mSearches.put(organisation, search);
        search.start(nowMs);
        return true;
    }

    private boolean waitForStoreExchange(long nowMs, String organisation, Runnable done) {
        boolean helps = mBook.allowStoreExchangesWithoutPeers(nowMs, organisation);
        if (helps) {
            mBook.afterNextExchange(nowMs, organisation, done);
        }
        return helps;
    }

    /** Returns the homes to ask, those that were silent of late last. */
    private List<String> homesToAsk(long nowMs, int pool) {
        List<String> homes = new ArrayList<>();
        List<String> unresponsive = new ArrayList<>();
        for (String each : mHomes.otherHomes(pool)) {
            boolean responsive = nowMs >= mUnresponsiveUntilMs.getOrDefault(each, Long.MIN_VALUE);
            (responsive ? homes : unresponsive).add(each);
        }
        homes.addAll(unresponsive);
        return homes;
    }

    private void onSearchEnded(long nowMs, String organisation, LoanSearch search) {
        mSearches.remove(organisation);
        search.lastLender().ifPresent(l -> mLastLender.put(organisation, l));
        search.unresponsivePeers()
                .forEach(n -> mUnresponsiveUntilMs.put(n, nowMs + UNRESPONSIVE_MS));
        if (search.isSatisfied()) {
            return;
        }
        mNextSearchMs.put(organisation, nowMs + SEARCH_RETRY_MS);
        if (search.unresponsivePeers().containsAll(mHomes.otherHomes(mBook.pool(organisation)))) {
            mBook.allowStoreExchanges(nowMs, organisation);
        }
    }

    /**
     * Hands what this VM does not need to a home of its pool; at a home that has lost the store,
     * asks another one for each organisation whose tokens run low.
     */
    public void tick(long nowMs) {
        if (nowMs < mNextTickMs) {
            return;
        }
        mNextTickMs = nowMs + INTERVAL_MS;
        if (mHomes.otherVms().isEmpty()) {
            return;
        }
        mBook.organisationOfEachPool()
                .forEach((pool, name) -> connectToNewHomes(nowMs, pool, name));
        mBook.takeTransfers(nowMs).forEach((pool, gifts) -> sendTransfers(nowMs, pool, gifts));
        mBook.shortfalls(nowMs)
                .forEach((organisation, tokens) -> borrowAhead(nowMs, organisation, tokens));
    }

    /**
     * Asks new homes of a pool for nothing, so that the connection to them is there, and what they
     * know of a budget is known, before a request waits for their tokens.
     */
    private void connectToNewHomes(long nowMs, int pool, String organisation) {
        List<String> homes = mHomes.otherHomes(pool);
        List<String> before =
                Optional.ofNullable(mConnectedHomes.put(pool, homes)).orElse(List.of());
        for (String home : homes) {
            if (!before.contains(home)) {
                mPeers.request(
                        nowMs,
                        home,
                        new LoanRequest(organisation, 0, 0, false),
                        REPLY_TIMEOUT_MS,
                        (t, reply) -> onReply(t, organisation, reply));
            }
        }
    }

    /** Sends to the first home that was not silent of late: what a dead one is sent is lost. */
    private void sendTransfers(long nowMs, int pool, List<TokenTransfer> transfers) {
        List<String> homes = homesToAsk(nowMs, pool);
        String home = homes.isEmpty() ? chooseAny(mHomes.otherVms()) : homes.get(0);
        transfers.forEach(g -> mPeers.send(home, g));
    }

    private String chooseAny(List<String> names) {
        return names.get(mRandom.nextInt(names.size()));
    }

    private void borrowAhead(long nowMs, String organisation, long tokens) {
        if (!mOpenRequests.add(organisation)) {
            return;
        }
        List<String> homes = mHomes.otherHomes(mBook.pool(organisation));
        mPeers.request(
                nowMs,
                chooseAny(homes.isEmpty() ? mHomes.otherVms() : homes),
                new LoanRequest(organisation, 0, tokens, false),
                REPLY_TIMEOUT_MS,
                (t, reply) -> onReply(t, organisation, reply));
    }

    private void onReply(long nowMs, String organisation, Either<Failure, PeerMessage> reply) {
        mOpenRequests.remove(organisation);
        if (reply.isRight() && reply.get() instanceof LoanReply loan) {
            mBook.onLoanReply(nowMs, loan);
        }
    }

    /** Answers another VM. */
    public void onRequest(long nowMs, VmId from, LoanRequest request, Consumer<PeerMessage> reply) {
        mBook.lend(nowMs, request, reply::accept);
    }

    /** Takes what another VM hands over; dropped where the organisation is not known. */
    public void onTransfer(
            long nowMs, VmId from, TokenTransfer transfer, Consumer<PeerMessage> reply) {
        mBook.onTransfer(nowMs, transfer);
    }
}
