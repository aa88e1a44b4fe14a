package org.hornbeampass.coordination.membership;

import io.vavr.control.Either;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.VmId;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Probes one other VM per interval, asks relays to probe a VM that did not reply, and marks it as
 * suspect if no relay reaches it either.
 *
 * <p>Invariant: a probe that was in flight when this VM paused causes no suspicion. While this VM's
 * own probes and all of its relays fail, suspicions last longer, since the fault is probably local.
 * Not thread-safe: guarded by the lock of {@link Membership}.
 */
final class Prober {
    private static final int MAX_LOCAL_FAULTS = 3;
    private static final int RELAY_TIMEOUT_FACTOR = 3;
    private static final int MAX_QUEUED_SUSPECTS = 4;

    private final MembershipCore mCore;
    private final TableSync mSync;
    private final ProbeRings mRings;
    private final Deque<VmId> mSuspectsToProbe = new ArrayDeque<>();
    private List<VmId> mTargets = List.of();
    private int mNextTarget;
    private long mNextProbeMs;
    private long mNextRetryMs;
    private int mPauseEpoch;
    private int mLocalFaults;

    /** Replies of the relays that probe one VM. */
    private static final class IndirectProbe {
        private final VmId mTarget;
        private final int mEpoch;
        private int mPendingReplies;
        private int mReplies;
        private boolean mReached;

        IndirectProbe(VmId target, int epoch, int relayCount) {
            mTarget = target;
            mEpoch = epoch;
            mPendingReplies = relayCount;
        }
    }

    Prober(MembershipCore core, TableSync sync) {
        mCore = core;
        mSync = sync;
        mRings = new ProbeRings(core.mSettings.rings());
    }

    /** Recomputes the VMs to probe, after the table changed. */
    void refreshTargets() {
        mTargets = mRings.targets(mCore.mTable.self(), mCore.mTable.entries());
    }

    List<VmId> targets() {
        return mTargets;
    }

    /** Invalidates probes in flight, after this VM paused. */
    void discardPending() {
        mPauseEpoch++;
    }

    /** Queues a probe of a new suspect at the next tick, if this VM probes it. */
    void probeSoon(VmId suspect) {
        if (mTargets.contains(suspect) && mSuspectsToProbe.size() < MAX_QUEUED_SUSPECTS) {
            mSuspectsToProbe.add(suspect);
        }
    }

    void tick(long nowMs, Outbox out) {
        while (!mSuspectsToProbe.isEmpty()) {
            probe(nowMs, mSuspectsToProbe.poll(), out);
        }
        if (nowMs >= mNextProbeMs) {
            mNextProbeMs = nextDueMs(nowMs, mNextProbeMs, mCore.mSettings.probeIntervalMs());
            if (!mTargets.isEmpty()) {
                mNextTarget = (mNextTarget + 1) % mTargets.size();
                probe(nowMs, mTargets.get(mNextTarget), out);
            }
        }
        if (nowMs >= mNextRetryMs) {
            mNextRetryMs = nextDueMs(nowMs, mNextRetryMs, mCore.mSettings.retryGoneMs());
            retryGone(nowMs, out);
        }
        expireSuspects(nowMs);
    }

    /**
     * Returns the next time of a periodic task; random for a new or delayed task, so that VMs don't
     * act at the same moment.
     */
    private long nextDueMs(long nowMs, long lastMs, long intervalMs) {
        if (lastMs == 0 || nowMs - lastMs > intervalMs) {
            return nowMs + 1 + mCore.mRandom.nextInt((int) intervalMs);
        }
        return lastMs + intervalMs;
    }

    private void probe(long nowMs, VmId target, Outbox out) {
        int epoch = mPauseEpoch;
        Ping ping = new Ping(mCore.rumoursFor(target));
        out.add(
                () ->
                        mCore.mNetwork.request(
                                nowMs,
                                target.name(),
                                ping,
                                mCore.mSettings.probeTimeoutMs(),
                                (atMs, reply) ->
                                        mCore.mLockedRunner.run(
                                                atMs,
                                                o -> onProbeReply(atMs, target, epoch, reply, o))));
    }

    private void onProbeReply(
            long nowMs, VmId target, int epoch, Either<Failure, PeerMessage> reply, Outbox out) {
        if (reply.isRight() && reply.get() instanceof Ack ack) {
            mLocalFaults = 0;
            onAck(nowMs, target, ack.rumours());
            return;
        }
        Optional<MemberEntry> entry = mCore.mTable.entry(target.name());
        boolean current = entry.isPresent() && entry.get().vm().equals(target);
        if (epoch != mPauseEpoch || !current || entry.get().health() == Health.GONE) {
            return;
        }
        askRelays(nowMs, entry.get(), out);
    }

    private void onAck(long nowMs, VmId target, Rumours rumours) {
        if (mCore.applyRumours(nowMs, target, rumours)) {
            mSync.requestSync(target.name());
        }
        mSync.compareDigest(nowMs, target.name(), rumours.digest());
    }

    private void askRelays(long nowMs, MemberEntry target, Outbox out) {
        List<VmId> relays = chooseRelays(target);
        if (relays.isEmpty()) {
            markSuspect(nowMs, target.vm());
            return;
        }
        IndirectProbe indirectProbe = new IndirectProbe(target.vm(), mPauseEpoch, relays.size());
        long timeoutMs = RELAY_TIMEOUT_FACTOR * mCore.mSettings.probeTimeoutMs();
        for (VmId relay : relays) {
            IndirectPing ping = new IndirectPing(target.name(), mCore.rumoursFor(relay));
            out.add(
                    () ->
                            mCore.mNetwork.request(
                                    nowMs,
                                    relay.name(),
                                    ping,
                                    timeoutMs,
                                    (atMs, reply) ->
                                            mCore.mLockedRunner.run(
                                                    atMs,
                                                    o ->
                                                            onRelayReply(
                                                                    atMs,
                                                                    relay,
                                                                    indirectProbe,
                                                                    reply))));
        }
    }

    /**
     * Chooses relays: one in the target's region, one in this VM's region, the others at random.
     */
    private List<VmId> chooseRelays(MemberEntry target) {
        List<MemberEntry> live =
                new ArrayList<>(
                        mCore.mTable.entries().stream()
                                .filter(e -> e.health() == Health.LIVE)
                                .filter(e -> e != target && e != mCore.mTable.self())
                                .toList());
        Collections.shuffle(live, mCore.mRandom);
        Set<VmId> chosen = new LinkedHashSet<>();
        live.stream()
                .filter(e -> e.region().equals(target.region()))
                .findFirst()
                .ifPresent(e -> chosen.add(e.vm()));
        live.stream()
                .filter(e -> e.region().equals(mCore.mTable.self().region()))
                .filter(e -> !chosen.contains(e.vm()))
                .findFirst()
                .ifPresent(e -> chosen.add(e.vm()));
        live.stream().map(MemberEntry::vm).forEach(chosen::add);
        return chosen.stream().limit(mCore.mSettings.relays()).toList();
    }

    private void onRelayReply(
            long nowMs,
            VmId relay,
            IndirectProbe indirectProbe,
            Either<Failure, PeerMessage> reply) {
        indirectProbe.mPendingReplies--;
        if (reply.isRight() && reply.get() instanceof IndirectAck ack) {
            indirectProbe.mReplies++;
            indirectProbe.mReached |= ack.reached();
            onAck(nowMs, relay, ack.rumours());
        }
        if (indirectProbe.mPendingReplies > 0 || indirectProbe.mEpoch != mPauseEpoch) {
            return;
        }
        if (indirectProbe.mReached) {
            mCore.recordContact(nowMs, indirectProbe.mTarget);
            return;
        }
        if (indirectProbe.mReplies == 0) {
            mLocalFaults = Math.min(mLocalFaults + 1, MAX_LOCAL_FAULTS);
        }
        markSuspect(nowMs, indirectProbe.mTarget);
    }

    private void markSuspect(long nowMs, VmId target) {
        Optional<MemberEntry> entry = mCore.mTable.entry(target.name());
        boolean live =
                entry.isPresent()
                        && entry.get().vm().equals(target)
                        && entry.get().health() == Health.LIVE;
        if (live) {
            mCore.setHealth(nowMs, entry.get(), Health.SUSPECT);
        }
    }

    private void expireSuspects(long nowMs) {
        long suspicionMs = mCore.mSettings.suspicionMs() * (1 + mLocalFaults);
        for (MemberEntry entry : mCore.mTable.entries()) {
            boolean expired = nowMs - entry.changedMs() >= suspicionMs;
            if (entry.health() == Health.SUSPECT && expired) {
                mCore.setHealth(nowMs, entry, Health.GONE);
            }
        }
    }

    private void retryGone(long nowMs, Outbox out) {
        List<MemberEntry> gone =
                mCore.mTable.entries().stream().filter(e -> e.health() == Health.GONE).toList();
        if (!gone.isEmpty()) {
            probe(nowMs, gone.get(mCore.mRandom.nextInt(gone.size())).vm(), out);
        }
    }
}
