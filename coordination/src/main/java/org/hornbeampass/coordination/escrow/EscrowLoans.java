package org.hornbeampass.coordination.escrow;

import io.vavr.control.Either;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.VmId;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Moves unspent tokens between VMs, so that only a few VMs need to exchange with the store, and all
 * VMs can share their tokens while it is unreachable.
 *
 * <p>A request for which this VM has too few tokens waits for a {@link LoanSearch}, which first
 * asks the homes of the organisation's pool. Unused tokens, and the duty to report spent ones, are
 * transferred back to a home. A home that cannot reach the store borrows from other VMs before
 * requests need the tokens, from the other homes if there are any.
 *
 * <p>Invariant: the lender deducts tokens before it sends them, and the borrower adds them once,
 * whenever the reply arrives; if the reply is lost, the tokens are lost, never duplicated. Not
 * thread-safe; must be used on the thread of the {@link EscrowBook}, and the network must reply on
 * it.
 */
public final class EscrowLoans {
    /**
     * The time after which a reply, and the tokens in it, are considered lost, in milliseconds.
     * Other VMs normally reply within a few; one whose event loop is late may take seconds.
     */
    static final long REPLY_TIMEOUT_MS = 10_000;

    /**
     * The time after which another VM is asked for a loan ahead of requests where the first did not
     * reply, in milliseconds.
     */
    private static final long LOAN_AHEAD_RETRY_MS = 500;

    /** The interval at which transfers and loans ahead of requests are started, in milliseconds. */
    private static final long INTERVAL_MS = 200;

    /**
     * The time after a search that served no request during which it is not repeated, in
     * milliseconds. Otherwise, each request of an organisation whose tokens are used up everywhere
     * would ask all VMs.
     */
    private static final long SEARCH_RETRY_MS = 300;

    /**
     * The time during which a VM that did not answer is asked last, in milliseconds. The fleet
     * takes about three seconds to detect that a VM is gone.
     */
    private static final long UNRESPONSIVE_MS = 2_000;

    private final EscrowBook mBook;
    private final PeerNetwork mPeers;
    private final PoolHomes mHomes;
    private final RandomGenerator mRandom;
    private final Map<String, Long> mNextLoanAheadMs = new HashMap<>();
    private final Map<String, LoanSearch> mSearches = new HashMap<>();
    private final Map<String, Long> mNextSearchMs = new HashMap<>();
    private final Map<String, String> mLastLender = new HashMap<>();
    private final Map<Integer, List<String>> mConnectedHomes = new HashMap<>();
    private final Map<String, Long> mUnresponsiveUntilMs = new HashMap<>();
    private long mNextTickMs;

    /**
     * Creates the loans of one book.
     *
     * @param book the book whose tokens are lent and borrowed
     * @param peers sends messages to other VMs
     * @param homes which VMs are homes of the pools, and which other VMs there are
     * @param random chooses the VMs to ask
     */
    public EscrowLoans(
            EscrowBook book, PeerNetwork peers, PoolHomes homes, RandomGenerator random) {
        mBook = book;
        mPeers = peers;
        mHomes = homes;
        mRandom = random;
        book.setNoticeListener(this::sendNotice);
    }

    private void sendNotice(RecordNotice notice) {
        mHomes.otherHomes(notice.pool()).forEach(home -> mPeers.send(home, notice));
    }

    /** Receives the record that another home has written. */
    public void onNotice(long nowMs, VmId from, RecordNotice notice, Consumer<PeerMessage> reply) {
        mBook.onNotice(notice);
    }

    /**
     * Looks for tokens for a waiting request, at other VMs and, if no home answers or reaches the
     * store, in the store.
     *
     * @param nowMs the current time in milliseconds
     * @param organisation the organisation's name
     * @param tokens the tokens that the request needs
     * @param waiter the request; notified once, when its tokens are free or the search ends, but
     *     not if this method returns false
     * @return whether a search is in progress; false if no tokens can be expected at present
     */
    public boolean search(long nowMs, String organisation, long tokens, TokenWaiter waiter) {
        LoanSearch open = mSearches.get(organisation);
        if (open != null) {
            open.addRequest(tokens, waiter);
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
            return waitForStoreExchange(nowMs, organisation, waiter::retry);
        }
        LoanSearch search =
                new LoanSearch(
                        mBook,
                        mPeers,
                        organisation,
                        order,
                        homes,
                        new SearchListener(organisation));
        search.addRequest(tokens, waiter);
        mSearches.put(organisation, search);
        search.start(nowMs);
        return true;
    }

    /** Handles the progress of the search for an organisation's tokens. */
    private final class SearchListener implements LoanSearch.Listener {
        private final String mOrganisation;

        SearchListener(String organisation) {
            mOrganisation = organisation;
        }

        /** Asks the store as well: the requests may not wait until all other VMs were asked. */
        @Override
        public void onHomesFailed(long nowMs, LoanSearch search) {
            if (mBook.allowStoreExchangesWithoutHomes(nowMs, mOrganisation)) {
                mBook.requireTokens(nowMs, mOrganisation, search.missingTokens());
                mBook.afterNextExchange(nowMs, mOrganisation, search::serveCovered);
            }
        }

        @Override
        public boolean onEnded(long nowMs, LoanSearch search) {
            return onSearchEnded(nowMs, mOrganisation, search);
        }
    }

    private boolean waitForStoreExchange(long nowMs, String organisation, Runnable done) {
        boolean helps = mBook.allowStoreExchangesWithoutHomes(nowMs, organisation);
        if (helps) {
            mBook.afterNextExchange(nowMs, organisation, done);
        }
        return helps;
    }

    /** Returns the homes to ask, those that recently did not answer last. */
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

    /**
     * Handles the end of a search.
     *
     * @return whether its requests wait on, for an exchange of this VM with the store
     */
    private boolean onSearchEnded(long nowMs, String organisation, LoanSearch search) {
        mSearches.remove(organisation);
        search.lastLender().ifPresent(l -> mLastLender.put(organisation, l));
        search.unresponsivePeers()
                .forEach(n -> mUnresponsiveUntilMs.put(n, nowMs + UNRESPONSIVE_MS));
        if (search.isSatisfied()) {
            return false;
        }
        mBook.listener().onUnsuccessfulSearch(nowMs, organisation, search.summary(nowMs));
        if (!search.hasServedAny()) {
            mNextSearchMs.put(organisation, nowMs + SEARCH_RETRY_MS);
        }
        boolean homesFail =
                search.peersWithoutStore().containsAll(mHomes.otherHomes(mBook.pool(organisation)));
        return homesFail && waitForStoreExchange(nowMs, organisation, search::notifyRequests);
    }

    /**
     * Transfers unneeded tokens to a home of their pool. A home for which the store is unreachable
     * asks another VM for tokens of each organisation that runs low.
     */
    public void tick(long nowMs) {
        List.copyOf(mSearches.values()).forEach(s -> s.tick(nowMs));
        if (nowMs < mNextTickMs) {
            return;
        }
        mNextTickMs = nowMs + INTERVAL_MS;
        if (mHomes.otherVms().isEmpty()) {
            return;
        }
        mBook.organisationOfEachPool()
                .forEach((pool, name) -> connectToNewHomes(nowMs, pool, name));
        mBook.takeTransfers(nowMs)
                .forEach((pool, transfers) -> sendTransfers(nowMs, pool, transfers));
        mBook.shortfalls(nowMs)
                .forEach((organisation, tokens) -> borrowAhead(nowMs, organisation, tokens));
    }

    /**
     * Sends an empty loan request to each new home of a pool, so that the connection exists and the
     * home's knowledge of a budget is known before a request has to wait for tokens.
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

    /**
     * Sends transfers to the first home that has not recently failed to answer, since what is sent
     * to an unreachable home is lost.
     */
    private void sendTransfers(long nowMs, int pool, List<TokenTransfer> transfers) {
        List<String> homes = homesToAsk(nowMs, pool);
        String home = homes.isEmpty() ? chooseAny(mHomes.otherVms()) : homes.get(0);
        transfers.forEach(t -> mPeers.send(home, t));
    }

    private String chooseAny(List<String> names) {
        return names.get(mRandom.nextInt(names.size()));
    }

    private void borrowAhead(long nowMs, String organisation, long tokens) {
        if (nowMs < mNextLoanAheadMs.getOrDefault(organisation, Long.MIN_VALUE)) {
            return;
        }
        mNextLoanAheadMs.put(organisation, nowMs + LOAN_AHEAD_RETRY_MS);
        List<String> homes = mHomes.otherHomes(mBook.pool(organisation));
        mPeers.request(
                nowMs,
                chooseAny(homes.isEmpty() ? mHomes.otherVms() : homes),
                new LoanRequest(organisation, 0, tokens, false),
                REPLY_TIMEOUT_MS,
                (t, reply) -> onReply(t, organisation, reply));
    }

    private void onReply(long nowMs, String organisation, Either<Failure, PeerMessage> reply) {
        mNextLoanAheadMs.remove(organisation);
        if (reply.isRight() && reply.get() instanceof LoanReply loan) {
            mBook.onLoanReply(nowMs, loan);
        }
    }

    /** Answers a loan request of another VM. */
    public void onRequest(long nowMs, VmId from, LoanRequest request, Consumer<PeerMessage> reply) {
        mBook.lend(nowMs, request, reply::accept);
    }

    /** Applies a transfer from another VM. Ignored if the organisation is unknown. */
    public void onTransfer(
            long nowMs, VmId from, TokenTransfer transfer, Consumer<PeerMessage> reply) {
        mBook.onTransfer(nowMs, transfer);
    }
}
