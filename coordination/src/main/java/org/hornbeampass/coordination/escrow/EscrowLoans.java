package org.hornbeampass.coordination.escrow;

import io.vavr.control.Either;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.VmId;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Moves unspent tokens from VMs that reach the store to one that it turns away.
 *
 * <p>Invariant: tokens are taken from the lender before they are sent, and counted by the borrower
 * once, when the reply arrives; a lost reply loses them and never doubles them. Confined to the
 * book's thread: the network must reply on it.
 */
public final class EscrowLoans {
    /** How long a reply may take, in milliseconds; peers answer within a few. */
    private static final long TIMEOUT_MS = 500;

    /** How often loans are looked for, in milliseconds. */
    private static final long PAUSE_MS = 200;

    private final EscrowBook mBook;
    private final PeerNetwork mPeers;
    private final Supplier<List<String>> mNames;
    private final RandomGenerator mRandom;
    private final Set<String> mOpen = new HashSet<>();
    private long mNextMs;

    /**
     * Makes the loans of one book.
     *
     * @param book the book
     * @param peers sends messages to other VMs
     * @param names gives the names of other VMs that may be asked
     * @param random chooses whom to ask
     */
    public EscrowLoans(
            EscrowBook book,
            PeerNetwork peers,
            Supplier<List<String>> names,
            RandomGenerator random) {
        mBook = book;
        mPeers = peers;
        mNames = names;
        mRandom = random;
    }

    /** Asks one peer for each organisation whose tokens run low while the store is out of reach. */
    public void tick(long nowMs) {
        if (nowMs < mNextMs) {
            return;
        }
        mNextMs = nowMs + PAUSE_MS;
        List<String> names = mNames.get();
        if (names.isEmpty()) {
            return;
        }
        mBook.lacking(nowMs)
                .forEach(
                        (organisation, tokens) ->
                                ask(
                                        nowMs,
                                        names.get(mRandom.nextInt(names.size())),
                                        organisation,
                                        tokens));
    }

    private void ask(long nowMs, String peer, String organisation, long tokens) {
        if (!mOpen.add(organisation)) {
            return;
        }
        mPeers.request(
                nowMs,
                peer,
                new LoanRequest(organisation, tokens),
                TIMEOUT_MS,
                (t, reply) -> take(t, organisation, reply));
    }

    private void take(long nowMs, String organisation, Either<Failure, PeerMessage> reply) {
        mOpen.remove(organisation);
        if (reply.isRight() && reply.get() instanceof LoanReply loan && loan.tokens() > 0) {
            mBook.borrow(nowMs, organisation, loan.tokens());
        }
    }

    /** Answers another VM. */
    public void onRequest(long nowMs, VmId from, LoanRequest request, Consumer<PeerMessage> reply) {
        long tokens = mBook.lend(nowMs, request.organisation(), request.tokens());
        reply.accept(new LoanReply(request.organisation(), tokens));
    }
}
