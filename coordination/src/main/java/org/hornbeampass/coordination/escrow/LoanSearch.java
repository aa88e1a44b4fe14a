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
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;

/**
 * Asks one VM after another for the tokens that requests of one organisation wait for.
 *
 * <p>Invariants: one VM is asked at a time, each once; all who wait are told once, when enough was
 * found or nobody is left to ask. Confined to the book's thread.
 */
final class LoanSearch {
    /**
     * How long one VM may take to answer, in milliseconds: an exchange with the store included. A
     * request waits for little longer.
     */
    static final long TIMEOUT_MS = 250;

    /** How many VMs are asked: eight answer within some 30 ms, where messages take 1.4 ms. */
    private static final int MOST_ASKED = 8;

    private final EscrowBook mBook;
    private final PeerNetwork mPeers;
    private final String mOrganisation;
    private final Deque<String> mToAsk;
    private final BiConsumer<Long, LoanSearch> mOver;
    private final List<Runnable> mWaiting = new ArrayList<>();
    private final Set<String> mSilent = new HashSet<>();
    private Optional<String> mLender = Optional.empty();
    private int mHomesToAsk;
    private long mNeeded;

    LoanSearch(
            EscrowBook book,
            PeerNetwork peers,
            String organisation,
            List<String> toAsk,
            int homes,
            BiConsumer<Long, LoanSearch> over) {
        mBook = book;
        mPeers = peers;
        mOrganisation = organisation;
        mToAsk = new ArrayDeque<>(toAsk);
        mHomesToAsk = homes;
        mOver = over;
    }

    /** Returns whom to ask: homes, then whoever lent last, then others drawn at random. */
    static List<String> order(
            List<String> homes, List<String> vms, String lastLender, RandomGenerator random) {
        List<String> rest = new ArrayList<>(vms);
        rest.removeAll(homes);
        List<String> order = new ArrayList<>(homes);
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

    /** Returns who did not answer. */
    Set<String> silent() {
        return mSilent;
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
        boolean atHome = mHomesToAsk-- > 0;
        long tokens = missing() + mBook.ahead(nowMs, mOrganisation);
        mPeers.request(
                nowMs,
                peer,
                new LoanRequest(mOrganisation, missing(), tokens, atHome),
                TIMEOUT_MS,
                (t, reply) -> take(t, peer, reply));
    }

    private void take(long nowMs, String peer, Either<Failure, PeerMessage> reply) {
        if (reply.isLeft()) {
            mSilent.add(peer);
        } else if (reply.get() instanceof LoanReply loan) {
            mLender = loan.tokens() > 0 ? Optional.of(peer) : mLender;
            mBook.onLoan(nowMs, loan);
        }
        askNext(nowMs);
    }
}
