package org.hornbeampass.coordination.config;

import io.vavr.control.Either;

import org.hornbeampass.coordination.membership.Outbox;
import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.Json;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.member.Member;
import org.hornbeampass.state.member.MemberState;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Fetches from peers the changes that this VM knows to exist but has not applied, and serves its
 * own changes to peers.
 *
 * <p>Invariants: at most one request is in progress; a change is applied only if the chain of
 * hashes shows that it continues this VM's history, so a peer with another history can't corrupt
 * it. Not thread-safe: guarded by the lock of {@link ConfigStore}.
 */
final class PeerFollower {
    private static final int SNAPSHOT_PART_CHARS = 32_768;
    private static final long SERVED_SNAPSHOT_TTL_MS = 30_000;

    private final ConfigState mState;
    private final Map<String, Long> mRevisionsByPeer = new TreeMap<>();
    private final Set<String> mReadyPeers = new HashSet<>();
    private boolean mRequestInProgress;
    private long mNextRequestMs;
    private ConfigSnapshots.HashedSnapshot mServedSnapshot;
    private String mServedSnapshotText = "";
    private long mServedSnapshotMs;

    PeerFollower(ConfigState state) {
        mState = state;
    }

    /**
     * Returns how many peers that are ready have answered with a revision that this VM has reached.
     */
    int readyPeerCount() {
        return mReadyPeers.size();
    }

    void onRevisionAnnounced(long nowMs, VmId from, long revision, Outbox out) {
        mState.noteRevision(revision);
        mRevisionsByPeer.put(from.name(), revision);
        fetchMissingChanges(nowMs, out);
    }

    void tick(long nowMs, boolean ready, Outbox out) {
        fetchMissingChanges(nowMs, out);
        if (!ready && !mRequestInProgress && nowMs >= mNextRequestMs) {
            chooseLivePeer(p -> !mReadyPeers.contains(p)).ifPresent(p -> pull(nowMs, p, out));
        }
    }

    private void fetchMissingChanges(long nowMs, Outbox out) {
        long revision = mState.mHistory.revision();
        if (mRequestInProgress
                || nowMs < mNextRequestMs
                || mState.newestKnownRevision() <= revision) {
            return;
        }
        mRevisionsByPeer.values().removeIf(r -> r <= revision);
        Optional<String> source =
                mRevisionsByPeer.isEmpty()
                        ? chooseLivePeer(p -> true)
                        : chooseRandom(new ArrayList<>(mRevisionsByPeer.keySet()));
        source.ifPresent(p -> pull(nowMs, p, out));
    }

    private Optional<String> chooseLivePeer(java.util.function.Predicate<String> condition) {
        List<String> live =
                mState.mView.get().members().stream()
                        .filter(m -> m.state() != MemberState.GONE)
                        .map(Member::name)
                        .filter(name -> !name.equals(mState.mSelf.name()))
                        .filter(condition)
                        .toList();
        return chooseRandom(live);
    }

    private Optional<String> chooseRandom(List<String> names) {
        return names.isEmpty()
                ? Optional.empty()
                : Optional.of(names.get(mState.mRandom.nextInt(names.size())));
    }

    private void pull(long nowMs, String peer, Outbox out) {
        PullRequest request = new PullRequest(mState.mHistory.revision(), mState.mHistory.hash());
        sendRequest(
                nowMs, peer, request, out, (atMs, reply, o) -> onPullReply(atMs, peer, reply, o));
    }

    /** Handles a reply with the lock held. */
    @FunctionalInterface
    private interface ReplyHandler {
        void handle(long nowMs, PeerMessage reply, Outbox out);
    }

    private void sendRequest(
            long nowMs, String peer, PeerMessage request, Outbox out, ReplyHandler handler) {
        mRequestInProgress = true;
        out.add(
                () ->
                        mState.mNetwork.request(
                                nowMs,
                                peer,
                                request,
                                mState.mSettings.pullTimeoutMs(),
                                (atMs, reply) ->
                                        mState.mLockGuard.run(
                                                atMs,
                                                o -> onReply(atMs, peer, reply, handler, o))));
    }

    private void onReply(
            long nowMs,
            String peer,
            Either<Failure, PeerMessage> reply,
            ReplyHandler handler,
            Outbox out) {
        mRequestInProgress = false;
        if (reply.isLeft()) {
            onPeerFailed(nowMs, peer);
            return;
        }
        handler.handle(nowMs, reply.get(), out);
    }

    private void onPeerFailed(long nowMs, String peer) {
        mRevisionsByPeer.remove(peer);
        long retryMs = mState.mSettings.retryDelayMs();
        mNextRequestMs = nowMs + 1 + mState.mRandom.nextInt((int) retryMs);
    }

    private void onPullReply(long nowMs, String peer, PeerMessage message, Outbox out) {
        if (!(message instanceof PullReply reply)) {
            onPeerFailed(nowMs, peer);
            return;
        }
        if (reply.problem() == PullProblem.FOREIGN) {
            mState.countForeignEntry();
            onPeerFailed(nowMs, peer);
            return;
        }
        mState.noteRevision(reply.newest());
        if (reply.problem() == PullProblem.TOO_OLD) {
            requestSnapshotPart(nowMs, peer, 0, new ArrayList<>(), out);
            return;
        }
        if (!applyAll(reply)) {
            onPeerFailed(nowMs, peer);
            return;
        }
        if (reply.ready() && mState.mHistory.revision() >= reply.newest()) {
            mReadyPeers.add(peer);
        }
        fetchMissingChanges(nowMs, out);
    }

    /**
     * Applies the changes of a reply; rejects all of them if they don't produce the stated hash.
     */
    private boolean applyAll(PullReply reply) {
        List<String> texts = new ArrayList<>(reply.entries());
        while (!texts.isEmpty()
                && mState.mHistory.classify(texts.get(0)) == ConfigHistory.Outcome.KNOWN) {
            texts.remove(0);
        }
        if (texts.isEmpty()) {
            return reply.newest() <= mState.mHistory.revision();
        }
        String hash = mState.mHistory.hash();
        for (String text : texts) {
            hash = ConfigHistory.hash(hash, text);
        }
        if (!hash.equals(reply.hashAfter())) {
            mState.countForeignEntry();
            return false;
        }
        for (String text : texts) {
            if (mState.apply(text) != ConfigHistory.Outcome.APPLIED) {
                return false;
            }
        }
        return true;
    }

    private void requestSnapshotPart(
            long nowMs, String peer, long revision, List<String> texts, Outbox out) {
        SnapshotRequest request = new SnapshotRequest(revision, texts.size());
        sendRequest(
                nowMs,
                peer,
                request,
                out,
                (atMs, reply, o) -> onSnapshotPart(atMs, peer, reply, texts, o));
    }

    private void onSnapshotPart(
            long nowMs, String peer, PeerMessage message, List<String> texts, Outbox out) {
        if (!(message instanceof SnapshotPart part) || part.parts() == 0) {
            onPeerFailed(nowMs, peer);
            return;
        }
        texts.add(part.text());
        if (texts.size() < part.parts()) {
            requestSnapshotPart(nowMs, peer, part.revision(), texts, out);
            return;
        }
        Either<Failure, ConfigSnapshots.HashedSnapshot> loaded =
                ConfigSnapshots.decode(String.join("", texts), part.hash());
        if (loaded.isLeft() || loaded.get().snapshot().revision() != part.revision()) {
            onPeerFailed(nowMs, peer);
            return;
        }
        mState.reset(loaded.get());
        fetchMissingChanges(nowMs, out);
    }

    /** Returns the reply to a peer's pull. */
    PullReply handlePull(PullRequest request, boolean ready) {
        ConfigHistory history = mState.mHistory;
        long newest = history.revision();
        if (request.after() >= newest) {
            boolean foreign = request.after() == newest && !request.hash().equals(history.hash());
            PullProblem problem = foreign ? PullProblem.FOREIGN : PullProblem.NONE;
            return new PullReply(ready, newest, problem, "", List.of());
        }
        Optional<String> known = history.hashAt(request.after());
        if (known.isEmpty()) {
            return new PullReply(ready, newest, PullProblem.TOO_OLD, "", List.of());
        }
        if (!known.get().equals(request.hash())) {
            return new PullReply(ready, newest, PullProblem.FOREIGN, "", List.of());
        }
        List<String> texts = history.textsAfter(request.after(), mState.mSettings.maxPullBytes());
        String hashAfter = history.hashAt(request.after() + texts.size()).orElse("");
        return new PullReply(ready, newest, PullProblem.NONE, hashAfter, texts);
    }

    /** Replies with one part of a snapshot; later parts are of the revision of the first part. */
    void handleSnapshotRequest(
            long nowMs,
            SnapshotRequest request,
            boolean ready,
            Consumer<PeerMessage> reply,
            Outbox out) {
        boolean isExpired =
                mServedSnapshot == null || nowMs - mServedSnapshotMs > SERVED_SNAPSHOT_TTL_MS;
        if (request.revision() == 0 && isExpired) {
            mServedSnapshot =
                    new ConfigSnapshots.HashedSnapshot(
                            mState.mHistory.snapshot(), mState.mHistory.hash());
            mServedSnapshotText = Json.encode(mServedSnapshot.snapshot());
            mServedSnapshotMs = nowMs;
        }
        long revision = mServedSnapshot == null ? -1 : mServedSnapshot.snapshot().revision();
        boolean isAvailable = request.revision() == 0 || request.revision() == revision;
        int parts = (mServedSnapshotText.length() + SNAPSHOT_PART_CHARS - 1) / SNAPSHOT_PART_CHARS;
        if (!isAvailable || request.part() < 0 || request.part() >= parts) {
            out.add(() -> reply.accept(new SnapshotPart(ready, revision, "", 0, "")));
            return;
        }
        int start = request.part() * SNAPSHOT_PART_CHARS;
        int end = Math.min(mServedSnapshotText.length(), start + SNAPSHOT_PART_CHARS);
        SnapshotPart part =
                new SnapshotPart(
                        ready,
                        revision,
                        mServedSnapshot.hash(),
                        parts,
                        mServedSnapshotText.substring(start, end));
        out.add(() -> reply.accept(part));
    }
}
