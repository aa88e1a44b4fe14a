package org.hornbeampass.coordination.membership;

import io.vavr.control.Either;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.Region;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Compares this VM's table with a peer's, bucket by bucket, where their digests differ for long.
 *
 * <p>Invariant: one comparison at a time, each reply of bounded size, at most one per interval. Not
 * thread-safe: guarded by the lock of {@link Membership}.
 */
final class TableSync {
    private static final long REPLY_TIMEOUT_MS = 2_000;

    private final MembershipCore mCore;
    private final Map<String, Long> mDiffersSinceMs = new HashMap<>();
    private Optional<String> mWanted = Optional.empty();
    private long mNextMs;
    private int mStart;

    TableSync(MembershipCore core) {
        mCore = core;
    }

    /** Asks for a comparison with a peer as soon as the interval allows. */
    void want(String peer) {
        mWanted = Optional.of(peer);
    }

    boolean idle() {
        return mWanted.isEmpty();
    }

    /** Notes a peer's digest; wants a comparison where it differs for longer than news takes. */
    void compare(long nowMs, String peer, long digest) {
        if (digest == mCore.mTable.digest()) {
            mDiffersSinceMs.remove(peer);
            return;
        }
        Long sinceMs = mDiffersSinceMs.putIfAbsent(peer, nowMs);
        if (sinceMs != null && nowMs - sinceMs >= mCore.mSettings.settleMs() && idle()) {
            mDiffersSinceMs.put(peer, nowMs);
            want(peer);
        }
    }

    /** Drops the digests of peers that are no longer in contact. */
    void forgetOld(long nowMs) {
        long keepMs = 10 * mCore.mSettings.settleMs();
        mDiffersSinceMs.values().removeIf(since -> nowMs - since > keepMs);
    }

    void tick(long nowMs, Outbox out) {
        if (mWanted.isEmpty() || nowMs < mNextMs) {
            return;
        }
        mNextMs = nowMs + mCore.mSettings.syncIntervalMs();
        String peer = mWanted.get();
        mWanted = Optional.empty();
        SyncRequest request =
                new SyncRequest(
                        mCore.mTable.self().update(true), mStart, mCore.mTable.bucketDigests());
        out.add(
                () ->
                        mCore.mNetwork.request(
                                nowMs,
                                peer,
                                request,
                                REPLY_TIMEOUT_MS,
                                (atMs, reply) ->
                                        mCore.mGuard.run(
                                                atMs, o -> replied(atMs, peer, reply, o))));
    }

    private void replied(long nowMs, String peer, Either<Failure, PeerMessage> reply, Outbox out) {
        if (reply.isLeft() || !(reply.get() instanceof SyncReply sync)) {
            return;
        }
        Map<String, MemberUpdate> theirs = new HashMap<>();
        sync.entries().forEach(e -> theirs.put(e.name(), e));
        MemberUpdate peerSelf = theirs.get(peer);
        if (peerSelf != null) {
            mCore.merge(nowMs, peerSelf, Optional.empty(), out);
        }
        Optional<Region> region = mCore.mTable.regionOf(peer);
        sync.entries().forEach(e -> mCore.merge(nowMs, e, region, out));
        push(peer, sync.covered(), theirs, out);
        mStart = (mStart + Integer.bitCount(sync.covered())) % MemberTable.BUCKETS;
        if (sync.more() && idle()) {
            want(peer);
        }
    }

    /** Sends the peer what it lacks in the buckets that its reply covered. */
    private void push(String peer, int covered, Map<String, MemberUpdate> theirs, Outbox out) {
        List<MemberUpdate> newer = new ArrayList<>();
        int bytes = 0;
        for (MemberEntry entry : mCore.mTable.entries()) {
            boolean asked = (covered >>> MemberTable.bucket(entry.name()) & 1) == 1;
            if (!asked || !newerThan(entry, theirs.get(entry.name()))) {
                continue;
            }
            MemberUpdate update = entry.update(true);
            bytes += update.encodedBytes();
            if (bytes > mCore.mSettings.maxSyncBytes()) {
                break;
            }
            newer.add(update);
        }
        if (!newer.isEmpty()) {
            Gossip gossip = new Gossip(mCore.rumours(newer));
            out.add(() -> mCore.mNetwork.send(peer, gossip));
        }
    }

    private static boolean newerThan(MemberEntry entry, MemberUpdate theirs) {
        if (theirs == null) {
            return entry.health() != Health.GONE;
        }
        if (entry.vm().incarnation() != theirs.incarnation()) {
            return entry.vm().incarnation() > theirs.incarnation();
        }
        if (entry.counter() != theirs.counter()) {
            return entry.counter() > theirs.counter();
        }
        return entry.health().strongerThan(theirs.health())
                || (entry.leaving() && !theirs.leaving());
    }

    /** Answers a peer's request with the entries of buckets that differ. */
    SyncReply answer(SyncRequest request) {
        List<Long> own = mCore.mTable.bucketDigests();
        List<MemberUpdate> entries = new ArrayList<>();
        entries.add(mCore.mTable.self().update(true));
        int covered = 0;
        int bytes = 0;
        boolean more = false;
        for (int i = 0; i < MemberTable.BUCKETS; i++) {
            int bucket = Math.floorMod(request.start() + i, MemberTable.BUCKETS);
            if (own.get(bucket).equals(request.buckets().get(bucket))) {
                continue;
            }
            List<MemberUpdate> updates =
                    mCore.mTable.inBucket(bucket).stream().map(e -> e.update(true)).toList();
            int size = updates.stream().mapToInt(MemberUpdate::encodedBytes).sum();
            if (covered != 0 && bytes + size > mCore.mSettings.maxSyncBytes()) {
                more = true;
                break;
            }
            bytes += size;
            covered |= 1 << bucket;
            entries.addAll(updates);
        }
        return new SyncReply(covered, more, entries);
    }
}
