package org.hornbeampass.coordination.escrow;

import io.vavr.control.Either;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.state.Failure;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Asks one VM after another for the tokens that requests of one organisation wait for.
 *
 * <p>Invariants: one VM is asked at a time, and each at most once. Every waiting request is
 * notified once: as soon as the free tokens cover it, when all VMs were asked, or by the listener
 * later. The tokens in a reply are added to the book whenever it arrives, since its lender has
 * deducted them. Not thread-safe; must be used on the thread of the {@link EscrowBook}.
 */
final class LoanSearch {
    /**
     * How long the search waits for one VM's reply before it asks the next VM, in milliseconds. It
     * includes an exchange with the store, and is little shorter than the time for which a request
     * waits.
     */
    static final long PATIENCE_MS = 250;

    /**
     * The maximum number of VMs to ask. Eight VMs answer within about 30 ms where a message takes
     * 1.4 ms.
     */
    private static final int MAX_PEERS = 8;

    /** A request that waits for a number of tokens. */
    private record Waiting(long tokens, TokenWaiter waiter) {}

    /** Receives the progress of a search. */
    interface Listener {
        /**
         * Called at most once, when all homes were asked and none answered or reaches the store.
         */
        void onHomesFailed(long nowMs, LoanSearch search);

        /** Called at the end; returns whether the listener notifies the waiting requests itself. */
        boolean onEnded(long nowMs, LoanSearch search);
    }

    private final EscrowBook mBook;
    private final PeerNetwork mPeers;
    private final String mOrganisation;
    private final List<String> mHomes;
    private final Deque<String> mPeersToAsk;
    private final Listener mListener;
    private final List<Waiting> mWaiting = new ArrayList<>();
    private final Set<String> mUnresponsive = new HashSet<>();
    private final Set<String> mWithoutStore = new HashSet<>();
    private Optional<String> mLastLender = Optional.empty();
    private Optional<String> mAskedPeer = Optional.empty();
    private long mAskedMs;
    private long mStartMs;
    private int mAskedVms;
    private boolean mHomesFailed;
    private boolean mServedAny;

    LoanSearch(
            EscrowBook book,
            PeerNetwork peers,
            String organisation,
            List<String> peersToAsk,
            List<String> homes,
            Listener listener) {
        mBook = book;
        mPeers = peers;
        mOrganisation = organisation;
        mPeersToAsk = new ArrayDeque<>(peersToAsk);
        mHomes = List.copyOf(homes);
        mListener = listener;
    }

    /**
     * Returns the VMs to ask: the homes, then the VM that lent last, then others in random order.
     */
    static List<String> peerOrder(
            List<String> homes, List<String> vms, String lastLender, RandomGenerator random) {
        List<String> rest = new ArrayList<>(vms);
        rest.removeAll(homes);
        List<String> order = new ArrayList<>(homes);
        if (rest.remove(lastLender)) {
            order.add(lastLender);
        }
        while (!rest.isEmpty() && order.size() < MAX_PEERS) {
            order.add(rest.remove(random.nextInt(rest.size())));
        }
        return order;
    }

    /** Adds a waiting request. */
    void addRequest(long tokens, TokenWaiter waiter) {
        mWaiting.add(new Waiting(tokens, waiter));
    }

    void start(long nowMs) {
        mStartMs = nowMs;
        askNextPeer(nowMs);
    }

    /** Returns whether no request waits any more. */
    boolean isSatisfied() {
        return mWaiting.isEmpty();
    }

    /** Returns whether the search has found the tokens of any request. */
    boolean hasServedAny() {
        return mServedAny;
    }

    /** Returns how the search has gone so far, for logs. */
    GrantListener.Search summary(long nowMs) {
        return new GrantListener.Search(
                nowMs - mStartMs, mAskedVms, mUnresponsive.size(), missingTokens());
    }

    /** Returns the VM that lent tokens last. */
    Optional<String> lastLender() {
        return mLastLender;
    }

    /** Returns the VMs that did not answer. */
    Set<String> unresponsivePeers() {
        return mUnresponsive;
    }

    /** Returns the VMs that did not answer, or that cannot reach or never reached the store. */
    Set<String> peersWithoutStore() {
        return mWithoutStore;
    }

    /** Returns the tokens that the waiting requests lack. */
    long missingTokens() {
        long needed = mWaiting.stream().mapToLong(Waiting::tokens).sum();
        return Math.max(0, needed - mBook.free(mOrganisation));
    }

    /** Notifies the requests that still wait. */
    void notifyRequests() {
        List<Waiting> waiting = List.copyOf(mWaiting);
        mWaiting.clear();
        waiting.forEach(w -> w.waiter().retry());
    }

    /** Notifies the requests that the free tokens cover, in the order in which they came. */
    void serveCovered() {
        List<Waiting> waiting = List.copyOf(mWaiting);
        mWaiting.clear();
        for (Waiting each : waiting) {
            if (!each.waiter().isWaiting()) {
                continue;
            }
            if (each.tokens() > mBook.free(mOrganisation)) {
                mWaiting.add(each);
                continue;
            }
            mServedAny = true;
            each.waiter().retry();
        }
    }

    private void askNextPeer(long nowMs) {
        mAskedPeer = Optional.empty();
        serveCovered();
        reportFailedHomes(nowMs);
        if (isSatisfied() || mPeersToAsk.isEmpty()) {
            boolean deferred = mListener.onEnded(nowMs, this);
            if (!deferred) {
                notifyRequests();
            }
            return;
        }
        String peer = mPeersToAsk.removeFirst();
        long missing = missingTokens();
        mAskedPeer = Optional.of(peer);
        mAskedMs = nowMs;
        mAskedVms++;
        boolean atHome = mHomes.contains(peer);
        long tokens = missing + mBook.extraTokens(nowMs, mOrganisation);
        mPeers.request(
                nowMs,
                peer,
                new LoanRequest(mOrganisation, missing, tokens, atHome),
                EscrowLoans.REPLY_TIMEOUT_MS,
                (t, reply) -> onReply(t, peer, reply));
    }

    private void reportFailedHomes(long nowMs) {
        boolean failed = !mHomes.isEmpty() && mWithoutStore.containsAll(mHomes);
        if (failed && !mHomesFailed && !isSatisfied()) {
            mHomesFailed = true;
            mListener.onHomesFailed(nowMs, this);
        }
    }

    /**
     * Serves requests from tokens that became free meanwhile, and asks the next VM where the one
     * that was asked has not replied in time.
     */
    void tick(long nowMs) {
        serveCovered();
        if (mAskedPeer.isPresent() && nowMs - mAskedMs >= PATIENCE_MS) {
            skip(nowMs, mAskedPeer.get());
        }
    }

    private void skip(long nowMs, String peer) {
        mUnresponsive.add(peer);
        mWithoutStore.add(peer);
        askNextPeer(nowMs);
    }

    private void onReply(long nowMs, String peer, Either<Failure, PeerMessage> reply) {
        boolean waitedFor = mAskedPeer.equals(Optional.of(peer));
        if (reply.isRight() && reply.get() instanceof LoanReply loan) {
            if (!loan.status().known() || loan.status().storeLost()) {
                mWithoutStore.add(peer);
            }
            mLastLender = loan.tokens() > 0 ? Optional.of(peer) : mLastLender;
            mBook.onLoanReply(nowMs, loan);
        } else if (waitedFor) {
            skip(nowMs, peer);
            return;
        }
        if (waitedFor) {
            askNextPeer(nowMs);
        }
    }
}
