package org.hornbeampass.coordination.stream;

import io.vavr.control.Either;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.member.Member;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Knows where the recent streams began, and shares it with other VMs.
 *
 * <p>A caller most often takes its stream up because the VM that served it has died, so that VM
 * tells others as soon as the stream begins. Invariants: an origin never changes once it is stored,
 * unless it becomes uncertain, which it then stays. Confined to one thread.
 */
public final class StreamOrigins {
    /** Longer than a caller waits for a stream, all its attempts included. */
    private static final long KEEP_MS = 60_000;

    /** Bounds the memory; the oldest origins are dropped first. */
    private static final int MAX_ORIGINS = 50_000;

    /** How long a request for an origin waits for a reply. */
    private static final long REPLY_TIMEOUT_MS = 200;

    private final PeerNetwork mPeers;
    private final Supplier<List<Member>> mOthersUp;
    private final Supplier<List<Member>> mOthersPossiblyUp;
    private final Map<StreamKey, Stored> mOrigins = new LinkedHashMap<>();

    /**
     * A stored origin.
     *
     * @param origin where the stream began
     * @param storedMs when it was stored here, in milliseconds
     */
    private record Stored(StreamOrigin origin, long storedMs) {}

    /**
     * Creates an empty store.
     *
     * @param peers sends messages to other VMs
     * @param othersUp provides the other VMs that are up
     * @param othersPossiblyUp provides the other VMs that are up or suspected to be down
     */
    public StreamOrigins(
            PeerNetwork peers,
            Supplier<List<Member>> othersUp,
            Supplier<List<Member>> othersPossiblyUp) {
        mPeers = peers;
        mOthersUp = othersUp;
        mOthersPossiblyUp = othersPossiblyUp;
    }

    /**
     * Stores and shares the origin of a stream, right before its first event is sent to the caller.
     *
     * @param nowMs the present time in milliseconds
     * @param key the stream
     * @param origin where it begins
     */
    public void onBegun(long nowMs, StreamKey key, StreamOrigin origin) {
        if (!key.isStorable()) {
            return;
        }
        store(nowMs, key, origin);
        StreamBegun message = new StreamBegun(key, origin);
        OriginHolders.toTell(key, mOthersUp.get()).forEach(vm -> mPeers.send(vm, message));
    }

    /** Stores the origin of a stream that another VM has begun. */
    public void onReport(long nowMs, VmId from, StreamBegun report, Consumer<PeerMessage> reply) {
        if (report.key().isStorable()) {
            store(nowMs, report.key(), report.origin());
        }
    }

    private void store(long nowMs, StreamKey key, StreamOrigin origin) {
        mOrigins.merge(
                key,
                new Stored(origin, nowMs),
                (former, newer) ->
                        newer.origin().hasCertainVersion()
                                ? former
                                : new Stored(newer.origin(), former.storedMs()));
        if (mOrigins.size() > MAX_ORIGINS) {
            Iterator<StreamKey> oldest = mOrigins.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /** Answers another VM. */
    public void onRequest(
            long nowMs, VmId from, OriginRequest request, Consumer<PeerMessage> reply) {
        reply.accept(OriginReply.of(stored(request.key())));
    }

    private Optional<StreamOrigin> stored(StreamKey key) {
        return Optional.ofNullable(mOrigins.get(key)).map(Stored::origin);
    }

    /** Returns the number of stored origins. */
    public int size() {
        return mOrigins.size();
    }

    /**
     * Finds the origin of a stream: here, or at the VMs that should know it.
     *
     * @param nowMs the present time in milliseconds
     * @param key the stream
     * @param done receives the time in milliseconds and the result; called once
     */
    public void find(long nowMs, StreamKey key, BiConsumer<Long, FoundOrigin> done) {
        Optional<StreamOrigin> own = stored(key);
        if (own.isPresent()) {
            done.accept(nowMs, new FoundOrigin(own, FoundOrigin.Source.THIS_VM, 0, 0));
            return;
        }
        List<String> holders =
                key.isStorable() ? OriginHolders.toAsk(key, mOthersPossiblyUp.get()) : List.of();
        if (holders.isEmpty()) {
            done.accept(nowMs, FoundOrigin.unknown(0, 0));
            return;
        }
        Search search = new Search(holders.size(), done);
        OriginRequest request = new OriginRequest(key);
        holders.forEach(
                vm -> mPeers.request(nowMs, vm, request, REPLY_TIMEOUT_MS, search::onReply));
    }

    /** Discards the origins of streams that can't be taken up any more. */
    public void tick(long nowMs) {
        Iterator<Stored> oldest = mOrigins.values().iterator();
        while (oldest.hasNext() && nowMs - oldest.next().storedMs() > KEEP_MS) {
            oldest.remove();
        }
    }

    /** The replies to one question: the first that knows the origin ends it, else the last. */
    private static final class Search {
        private final int mAsked;
        private final BiConsumer<Long, FoundOrigin> mDone;
        private int mReplied;
        private int mEnded;
        private boolean mFound;

        Search(int asked, BiConsumer<Long, FoundOrigin> done) {
            mAsked = asked;
            mDone = done;
        }

        void onReply(long nowMs, Either<Failure, PeerMessage> reply) {
            mEnded++;
            if (mFound) {
                return;
            }
            Optional<StreamOrigin> found = Optional.empty();
            if (reply.isRight() && reply.get() instanceof OriginReply origin) {
                mReplied++;
                found = origin.first();
            }
            if (found.isPresent()) {
                mFound = true;
                mDone.accept(
                        nowMs,
                        new FoundOrigin(found, FoundOrigin.Source.ANOTHER_VM, mAsked, mReplied));
            } else if (mEnded == mAsked) {
                mDone.accept(nowMs, FoundOrigin.unknown(mAsked, mReplied));
            }
        }
    }
}
