package org.hornbeampass.coordination.escrow;

import io.vavr.control.Either;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.VmId;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Moves unspent tokens between VMs, so that together they have one pool while the store can't help.
 *
 * <p>A request that finds too few tokens waits for a {@link LoanSearch} among the peers; besides, a
 * VM that the store turns away borrows ahead from those that it serves.
 *
 * <p>Invariant: tokens are taken from the lender before they are sent, and counted by the borrower
 * once, when the reply arrives; a lost reply loses them and never doubles them. Confined to the
 * book's thread: the network must reply on it.
 */
public final class EscrowLoans {
    /** How long a reply may take, in milliseconds; peers answer within a few. */
    private static final long TIMEOUT_MS = 500;

    /** How often loans ahead of requests are looked for, in milliseconds. */
    private static final long PAUSE_MS = 200;

    /**
     * How long a search that found too little is not repeated, in milliseconds: an organisation
     * whose tokens are used up everywhere would have all its requests ask all VMs.
     */
    private static final long FRUITLESS_PAUSE_MS = 300;

    private final EscrowBook mBook;
    private final PeerNetwork mPeers;
    private final Supplier<List<String>> mNames;
    private final RandomGenerator mRandom;
    private final Set<String> mOpen = new HashSet<>();
    private final Map<String, LoanSearch> mSearches = new HashMap<>();
    private final Map<String, Long> mNotBeforeMs = new HashMap<>();
    private final Map<String, String> mLastLender = new HashMap<>();
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

    /**
     * Looks for tokens at other VMs for a request that waits.
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
            open.join(tokens, done);
            return true;
        }
        boolean fruitless = nowMs < mNotBeforeMs.getOrDefault(organisation, Long.MIN_VALUE);
        List<String> names = mNames.get();
        if (fruitless || names.isEmpty()) {
            return false;
        }
        LoanSearch search =
                new LoanSearch(
                        mBook,
                        mPeers,
                        organisation,
                        LoanSearch.order(
                                names, mLastLender.getOrDefault(organisation, ""), mRandom),
                        (t, s) -> over(t, organisation, s));
        search.join(tokens, done);
        mSearches.put(organisation, search);
        search.start(nowMs);
        return true;
    }

    private void over(long nowMs, String organisation, LoanSearch search) {
        mSearches.remove(organisation);
        search.lender().ifPresent(l -> mLastLender.put(organisation, l));
        if (!search.found()) {
            mNotBeforeMs.put(organisation, nowMs + FRUITLESS_PAUSE_MS);
        }
    }

    /**
     * While the store is out of reach: asks one peer for each organisation whose tokens run low, or
     * hands all to peers where this VM shuts down.
     */
    public void tick(long nowMs) {
        if (nowMs < mNextMs) {
            return;
        }
        mNextMs = nowMs + PAUSE_MS;
        List<String> names = mNames.get();
        if (names.isEmpty()) {
            return;
        }
        mBook.takeGifts(nowMs)
                .forEach(
                        (organisation, tokens) ->
                                mPeers.send(
                                        names.get(mRandom.nextInt(names.size())),
                                        new LoanGift(organisation, tokens)));
        mBook.lacking(nowMs)
                .forEach(
                        (organisation, tokens) ->
                                askAhead(
                                        nowMs,
                                        names.get(mRandom.nextInt(names.size())),
                                        organisation,
                                        tokens));
    }

    private void askAhead(long nowMs, String peer, String organisation, long tokens) {
        if (!mOpen.add(organisation)) {
            return;
        }
        mPeers.request(
                nowMs,
                peer,
                new LoanRequest(organisation, tokens, false),
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
        long tokens =
                request.waiting()
                        ? mBook.lendToWaiting(nowMs, request.organisation(), request.tokens())
                        : mBook.lendAhead(nowMs, request.organisation(), request.tokens());
        reply.accept(new LoanReply(request.organisation(), tokens));
    }

    /** Takes tokens that another VM handed over; dropped where the organisation is not known. */
    public void onGift(long nowMs, VmId from, LoanGift gift, Consumer<PeerMessage> reply) {
        mBook.accept(nowMs, gift.organisation(), gift.tokens());
    }
}
