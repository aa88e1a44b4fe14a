package org.hornbeampass.coordination.escrow;

import io.vavr.control.Either;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.state.Failure;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;

/**
 * Asks one VM after another for the tokens that requests of one organisation wait for.
 *
 * <p>Invariants: one VM is asked at a time, each once; all who wait are told once, when enough was
 * found or nobody is left to ask. Confined to the book's thread.
 */
final class LoanSearch {
    /** How long one VM may take to answer, in milliseconds; a request waits for little longer. */
    private static final long TIMEOUT_MS = 100;

    /** How many VMs are asked: eight answer within some 30 ms, where messages take 1.4 ms. */
    private static final int MOST_ASKED = 8;

    /**
     * Tokens asked for beyond those needed, as a part of them, so that not each request of a busy
     * organisation has to ask.
     */
    private static final int AHEAD_PART = 1;

    private final EscrowBook mBook;
    private final PeerNetwork mPeers;
    private final String mOrganisation;
    private final Deque<String> mToAsk;
    private final BiConsumer<Long, LoanSearch> mOver;
    private final List<Runnable> mWaiting = new ArrayList<>();
    private Optional<String> mLender = Optional.empty();
    private long mNeeded;

    LoanSearch(
            EscrowBook book,
            PeerNetwork peers,
            String organisation,
            List<String> toAsk,
            BiConsumer<Long, LoanSearch> over) {
        mBook = book;
        mPeers = peers;
        mOrganisation = organisation;
        mToAsk = new ArrayDeque<>(toAsk);
        mOver = over;
    }

    /** Returns whom to ask, in order: whoever lent last, then others drawn at random. */
    static List<String> order(List<String> names, String lastLender, RandomGenerator random) {
        List<String> rest = new ArrayList<>(names);
        List<String> order = new ArrayList<>();
        if (rest.remove(lastLender)) {
            order.add(lastLender);
        }
        while (!rest.isEmpty() && order.size() < MOST_ASKED) {
            order.add(rest.remove(random.nextInt(rest.size())));
        }
        return order;
    }

    /** Adds a request that waits. */
    void join(long tokens, Runnable done) {
        mNeeded += tokens;
        mWaiting.add(done);
    }

    void start(long nowMs) {
        askNext(nowMs);
    }

    /** Returns whether all have what they need. */
    boolean found() {
        return missing() <= 0;
    }

    /** Returns who lent last. */
    Optional<String> lender() {
        return mLender;
    }

    private long missing() {
        return mNeeded - mBook.free(mOrganisation);
    }

    private void askNext(long nowMs) {
        if (found() || mToAsk.isEmpty()) {
            mOver.accept(nowMs, this);
            mWaiting.forEach(Runnable::run);
            return;
        }
        String peer = mToAsk.removeFirst();
        mPeers.request(
                nowMs,
                peer,
                new LoanRequest(mOrganisation, missing() + AHEAD_PART * mNeeded, true),
                TIMEOUT_MS,
                (t, reply) -> take(t, peer, reply));
    }

    private void take(long nowMs, String peer, Either<Failure, PeerMessage> reply) {
        if (reply.isRight() && reply.get() instanceof LoanReply loan && loan.tokens() > 0) {
            mLender = Optional.of(peer);
            mBook.borrow(nowMs, mOrganisation, loan.tokens());
        }
        askNext(nowMs);
    }
}
