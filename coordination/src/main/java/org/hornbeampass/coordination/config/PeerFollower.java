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
 * Fetches from peers the changes that this VM heard of but lacks, and serves its own to peers.
 *
 * <p>Invariants: at most one request is under way; a change is applied only where it continues this
 * VM's own history, hash by hash, so a peer with another history can't make this one differ. Not
 * thread-safe: guarded by the lock of {@link ConfigStore}.
 */
final class PeerFollower {
    private static final int SNAPSHOT_PART_CHARS = 32_768;
    private static final long SERVED_MS = 30_000;

    private final ConfigCore mCore;
    private final Map<String, Long> mSources = new TreeMap<>();
    private final Set<String> mAnswered = new HashSet<>();
    private boolean mBusy;
    private long mNotBeforeMs;
    private ConfigSnapshots.Loaded mServed;
    private String mServedText = "";
    private long mServedMs;

    PeerFollower(ConfigCore core) {
        mCore = core;
    }

    /** Returns how many peers that are ready themselves have answered since the start. */
    int answered() {
        return mAnswered.size();
    }

    void heard(long nowMs, VmId from, long revision, Outbox out) {
        mCore.heard(revision);
        mSources.put(from.name(), revision);
        fetchNews(nowMs, out);
    }

    void tick(long nowMs, boolean ready, Outbox out) {
        fetchNews(nowMs, out);
        if (!ready && !mBusy && nowMs >= mNotBeforeMs) {
            anyPeer(p -> !mAnswered.contains(p)).ifPresent(p -> pull(nowMs, p, out));
        }
    }

    private void fetchNews(long nowMs, Outbox out) {
        long revision = mCore.mHistory.revision();
        if (mBusy || nowMs < mNotBeforeMs || mCore.newestHeard() <= revision) {
            return;
        }
        mSources.values().removeIf(r -> r <= revision);
        Optional<String> source =
                mSources.isEmpty() ? anyPeer(p -> true) : pick(new ArrayList<>(mSources.keySet()));
        source.ifPresent(p -> pull(nowMs, p, out));
    }

    private Optional<String> anyPeer(java.util.function.Predicate<String> wanted) {
        List<String> live =
                mCore.mView.get().members().stream()
                        .filter(m -> m.state() != MemberState.GONE)
                        .map(Member::name)
                        .filter(name -> !name.equals(mCore.mSelf.name()))
                        .filter(wanted)
                        .toList();
        return pick(live);
    }

    private Optional<String> pick(List<String> names) {
        return names.isEmpty()
                ? Optional.empty()
                : Optional.of(names.get(mCore.mRandom.nextInt(names.size())));
    }

    private void pull(long nowMs, String peer, Outbox out) {
        PullRequest request = new PullRequest(mCore.mHistory.revision(), mCore.mHistory.hash());
        ask(nowMs, peer, request, out, (atMs, reply, o) -> pulled(atMs, peer, reply, o));
    }

    /** Takes a reply with the lock held. */
    @FunctionalInterface
    private interface ReplyHandler {
        void handle(long nowMs, PeerMessage reply, Outbox out);
    }

    private void ask(
            long nowMs, String peer, PeerMessage request, Outbox out, ReplyHandler handler) {
        mBusy = true;
        out.add(
                () ->
                        mCore.mNetwork.request(
                                nowMs,
                                peer,
                                request,
                                mCore.mSettings.pullTimeoutMs(),
                                (atMs, reply) ->
                                        mCore.mGuard.run(
                                                atMs,
                                                o -> replied(atMs, peer, reply, handler, o))));
    }

    private void replied(
            long nowMs,
            String peer,
            Either<Failure, PeerMessage> reply,
            ReplyHandler handler,
            Outbox out) {
        mBusy = false;
        if (reply.isLeft()) {
            failed(nowMs, peer);
            return;
        }
        handler.handle(nowMs, reply.get(), out);
    }

    private void failed(long nowMs, String peer) {
        mSources.remove(peer);
        long retryMs = mCore.mSettings.retryDelayMs();
        mNotBeforeMs = nowMs + 1 + mCore.mRandom.nextInt((int) retryMs);
    }

    private void pulled(long nowMs, String peer, PeerMessage message, Outbox out) {
        if (!(message instanceof PullReply reply)) {
            failed(nowMs, peer);
            return;
        }
        if (reply.problem() == PullProblem.FOREIGN) {
            mCore.sawForeign();
            failed(nowMs, peer);
            return;
        }
        mCore.heard(reply.newest());
        if (reply.problem() == PullProblem.TOO_OLD) {
            askSnapshot(nowMs, peer, 0, new ArrayList<>(), out);
            return;
        }
        if (!applyAll(reply)) {
            failed(nowMs, peer);
            return;
        }
        if (reply.ready() && mCore.mHistory.revision() >= reply.newest()) {
            mAnswered.add(peer);
        }
        fetchNews(nowMs, out);
    }

    /** Applies a reply's changes; refuses them all where they don't lead to the hash given. */
    private boolean applyAll(PullReply reply) {
        List<String> texts = new ArrayList<>(reply.entries());
        while (!texts.isEmpty()
                && mCore.mHistory.peek(texts.get(0)) == ConfigHistory.Outcome.KNOWN) {
            texts.remove(0);
        }
        if (texts.isEmpty()) {
            return reply.newest() <= mCore.mHistory.revision();
        }
        String hash = mCore.mHistory.hash();
        for (String text : texts) {
            hash = ConfigHistory.hash(hash, text);
        }
        if (!hash.equals(reply.hashAfter())) {
            mCore.sawForeign();
            return false;
        }
        for (String text : texts) {
            if (mCore.apply(text) != ConfigHistory.Outcome.APPLIED) {
                return false;
            }
        }
        return true;
    }

    private void askSnapshot(
            long nowMs, String peer, long revision, List<String> texts, Outbox out) {
        SnapshotRequest request = new SnapshotRequest(revision, texts.size());
        ask(
                nowMs,
                peer,
                request,
                out,
                (atMs, reply, o) -> snapshotPart(atMs, peer, reply, texts, o));
    }

    private void snapshotPart(
            long nowMs, String peer, PeerMessage message, List<String> texts, Outbox out) {
        if (!(message instanceof SnapshotPart part) || part.parts() == 0) {
            failed(nowMs, peer);
            return;
        }
        texts.add(part.text());
        if (texts.size() < part.parts()) {
            askSnapshot(nowMs, peer, part.revision(), texts, out);
            return;
        }
        Either<Failure, ConfigSnapshots.Loaded> loaded =
                ConfigSnapshots.decode(String.join("", texts), part.hash());
        if (loaded.isLeft() || loaded.get().snapshot().revision() != part.revision()) {
            failed(nowMs, peer);
            return;
        }
        mCore.reset(loaded.get());
        fetchNews(nowMs, out);
    }

    /** Answers a peer's pull. */
    PullReply answer(PullRequest request, boolean ready) {
        ConfigHistory history = mCore.mHistory;
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
        List<String> texts = history.textsAfter(request.after(), mCore.mSettings.maxPullBytes());
        String hashAfter = history.hashAt(request.after() + texts.size()).orElse("");
        return new PullReply(ready, newest, PullProblem.NONE, hashAfter, texts);
    }

    /** Gives one part of the present configuration; later parts are of the same revision. */
    void answerSnapshot(
            long nowMs,
            SnapshotRequest request,
            boolean ready,
            Consumer<PeerMessage> reply,
            Outbox out) {
        boolean stale = mServed == null || nowMs - mServedMs > SERVED_MS;
        if (request.revision() == 0 && stale) {
            mServed = new ConfigSnapshots.Loaded(mCore.mHistory.snapshot(), mCore.mHistory.hash());
            mServedText = Json.encode(mServed.snapshot());
            mServedMs = nowMs;
        }
        long revision = mServed == null ? -1 : mServed.snapshot().revision();
        boolean there = request.revision() == 0 || request.revision() == revision;
        int parts = (mServedText.length() + SNAPSHOT_PART_CHARS - 1) / SNAPSHOT_PART_CHARS;
        if (!there || request.part() < 0 || request.part() >= parts) {
            out.add(() -> reply.accept(new SnapshotPart(ready, revision, "", 0, "")));
            return;
        }
        int start = request.part() * SNAPSHOT_PART_CHARS;
        int end = Math.min(mServedText.length(), start + SNAPSHOT_PART_CHARS);
        SnapshotPart part =
                new SnapshotPart(
                        ready, revision, mServed.hash(), parts, mServedText.substring(start, end));
        out.add(() -> reply.accept(part));
    }
}
