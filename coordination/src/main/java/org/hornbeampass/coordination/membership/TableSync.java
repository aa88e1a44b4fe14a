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
 * Synchronises this VM's table with a peer's, bucket by bucket, if their digests have differed for
 * long.
 *
 * <p>Invariant: one synchronisation at a time, at most one per interval, and each reply of limited
 * size. Not thread-safe: guarded by the lock of {@link Membership}.
 */
final class TableSync {
    private static final long REPLY_TIMEOUT_MS = 2_000;
    private static final int UNSETTLED_FACTOR = 4;

    private final MembershipCore mCore;
    private final Map<String, DigestMismatch> mMismatches = new HashMap<>();
    private Optional<String> mNextPeer = Optional.empty();
    private long mNextMs;
    private int mStartBucket;

    /** Two digests that differ, since when they do, and since when neither has changed. */
    private record DigestMismatch(long own, long theirs, long sinceMs, long unchangedSinceMs) {
        DigestMismatch next(long nowMs, long nextOwn, long nextTheirs) {
            boolean unchanged = own == nextOwn && theirs == nextTheirs;
            return new DigestMismatch(
                    nextOwn, nextTheirs, sinceMs, unchanged ? unchangedSinceMs : nowMs);
        }
    }

    TableSync(MembershipCore core) {
        mCore = core;
    }

    /** Requests a synchronisation with a peer as soon as the interval allows. */
    void requestSync(String peer) {
        mNextPeer = Optional.of(peer);
    }

    boolean isIdle() {
        return mNextPeer.isEmpty();
    }

    /**
     * Compares a peer's digest with this VM's. Requests a synchronisation if they differ and
     * neither has changed for longer than gossip takes, or if they have differed for long although
     * they change.
     */
    void compareDigest(long nowMs, String peer, long digest) {
        long own = mCore.mTable.digest();
        if (digest == own) {
            mMismatches.remove(peer);
            return;
        }
        DigestMismatch before = mMismatches.get(peer);
        DigestMismatch now =
                before == null
                        ? new DigestMismatch(own, digest, nowMs, nowMs)
                        : before.next(nowMs, own, digest);
        mMismatches.put(peer, now);
        long settleMs = mCore.mSettings.settleMs();
        boolean due =
                nowMs - now.unchangedSinceMs() >= settleMs
                        || nowMs - now.sinceMs() >= UNSETTLED_FACTOR * settleMs;
        if (due && isIdle()) {
            mMismatches.put(peer, new DigestMismatch(own, digest, nowMs, nowMs));
            requestSync(peer);
        }
    }

    /**
     * Removes mismatches older than ten times the settling time, whose peers are no longer in
     * contact.
     */
    void removeOldMismatches(long nowMs) {
        long keepMs = 10 * mCore.mSettings.settleMs();
        mMismatches.values().removeIf(d -> nowMs - d.sinceMs() > keepMs);
    }

    void tick(long nowMs, Outbox out) {
        if (mNextPeer.isEmpty() || nowMs < mNextMs) {
            return;
        }
        mNextMs = nowMs + mCore.mSettings.syncIntervalMs();
        String peer = mNextPeer.get();
        mNextPeer = Optional.empty();
        SyncRequest request =
                new SyncRequest(
                        mCore.mTable.self().toUpdate(true),
                        mStartBucket,
                        mCore.mTable.bucketDigests());
        out.add(
                () ->
                        mCore.mNetwork.request(
                                nowMs,
                                peer,
                                request,
                                REPLY_TIMEOUT_MS,
                                (atMs, reply) ->
                                        mCore.mLockedRunner.run(
                                                atMs, o -> onReply(atMs, peer, reply, o))));
    }

    private void onReply(long nowMs, String peer, Either<Failure, PeerMessage> reply, Outbox out) {
        if (reply.isLeft() || !(reply.get() instanceof SyncReply sync)) {
            return;
        }
        Map<String, MemberUpdate> theirs = new HashMap<>();
        sync.entries().forEach(e -> theirs.put(e.name(), e));
        MemberUpdate peerSelf = theirs.get(peer);
        if (peerSelf != null) {
            mCore.merge(nowMs, peerSelf, Optional.empty());
        }
        Optional<Region> region = mCore.mTable.regionOf(peer);
        sync.entries().forEach(e -> mCore.merge(nowMs, e, region));
        sendNewerEntries(peer, sync.covered(), theirs, out);
        mStartBucket = (mStartBucket + Integer.bitCount(sync.covered())) % MemberTable.BUCKET_COUNT;
        if (sync.more() && isIdle()) {
            requestSync(randomLivePeer().orElse(peer));
        }
    }

    /**
     * Returns a random live peer to ask for the remaining buckets, so that joining VMs don't all
     * load the same seed.
     */
    private Optional<String> randomLivePeer() {
        List<MemberEntry> live =
                mCore.mTable.entries().stream()
                        .filter(e -> e.health() == Health.LIVE && e != mCore.mTable.self())
                        .toList();
        return live.isEmpty()
                ? Optional.empty()
                : Optional.of(live.get(mCore.mRandom.nextInt(live.size())).name());
    }

    /** Sends the peer the entries that it lacks in the buckets that its reply covered. */
    private void sendNewerEntries(
            String peer, int covered, Map<String, MemberUpdate> theirs, Outbox out) {
        List<MemberUpdate> newer = new ArrayList<>();
        int bytes = 0;
        for (MemberEntry entry : mCore.mTable.entries()) {
            boolean inCovered = (covered >>> MemberTable.bucketOf(entry.name()) & 1) == 1;
            if (!inCovered || !isNewer(entry, theirs.get(entry.name()))) {
                continue;
            }
            MemberUpdate update = entry.toUpdate(true);
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

    private static boolean isNewer(MemberEntry entry, MemberUpdate theirs) {
        if (theirs == null) {
            return entry.health() != Health.GONE;
        }
        if (entry.vm().incarnation() != theirs.incarnation()) {
            return entry.vm().incarnation() > theirs.incarnation();
        }
        if (entry.counter() != theirs.counter()) {
            return entry.counter() > theirs.counter();
        }
        return entry.health().overrides(theirs.health()) || (entry.leaving() && !theirs.leaving());
    }

    /** Answers a peer's request with the entries of buckets that differ. */
    SyncReply answer(SyncRequest request) {
        List<Long> own = mCore.mTable.bucketDigests();
        List<MemberUpdate> entries = new ArrayList<>();
        entries.add(mCore.mTable.self().toUpdate(true));
        int covered = 0;
        int bytes = 0;
        boolean more = false;
        for (int i = 0; i < MemberTable.BUCKET_COUNT; i++) {
            int bucket = Math.floorMod(request.start() + i, MemberTable.BUCKET_COUNT);
            if (own.get(bucket).equals(request.buckets().get(bucket))) {
                continue;
            }
            List<MemberUpdate> updates =
                    mCore.mTable.entriesInBucket(bucket).stream()
                            .map(e -> e.toUpdate(true))
                            .toList();
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
