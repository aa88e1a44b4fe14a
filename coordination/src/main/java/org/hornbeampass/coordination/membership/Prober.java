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
 * Probes one other VM per interval, asks others to probe one that did not answer, and suspects it
 * when none of them reaches it either.
 *
 * <p>Invariant: probes that were under way when this VM paused accuse nobody. While this VM's own
 * probes and relays all fail, it gives others more time, since the fault is likely its own. Not
 * thread-safe: guarded by the lock of {@link Membership}.
 */
final class Prober {
    private static final int MAX_OWN_FAULTS = 3;
    private static final int RELAY_TIMEOUTS = 3;
    private static final int MAX_CONFIRMATIONS = 4;

    private final MembershipCore mCore;
    private final TableSync mSync;
    private final ProbeRings mRings;
    private final Deque<VmId> mConfirm = new ArrayDeque<>();
    private List<VmId> mTargets = List.of();
    private int mNextTarget;
    private long mNextProbeMs;
    private long mNextRetryMs;
    private int mEpoch;
    private int mOwnFaults;

    /** The replies of the relays that probe one VM. */
    private static final class RelayRound {
        private final VmId mTarget;
        private final int mEpoch;
        private int mOpen;
        private int mAnswered;
        private boolean mReached;

        RelayRound(VmId target, int epoch, int open) {
            mTarget = target;
            mEpoch = epoch;
            mOpen = open;
        }
    }

    Prober(MembershipCore core, TableSync sync) {
        mCore = core;
        mSync = sync;
        mRings = new ProbeRings(core.mSettings.rings());
    }

    /** Recomputes whom to probe, after the table changed. */
    void refreshTargets() {
        mTargets = mRings.targets(mCore.mTable.self(), mCore.mTable.entries());
    }

    List<VmId> targets() {
        return mTargets;
    }

    /** Voids what is under way, after this VM paused. */
    void voidPending() {
        mEpoch++;
    }

    /** Probes a new suspect out of turn where it is one of our targets. */
    void confirm(VmId suspect) {
        if (mTargets.contains(suspect) && mConfirm.size() < MAX_CONFIRMATIONS) {
            mConfirm.add(suspect);
        }
    }

    void tick(long nowMs, Outbox out) {
        while (!mConfirm.isEmpty()) {
            probe(nowMs, mConfirm.poll(), out);
        }
        if (nowMs >= mNextProbeMs) {
            mNextProbeMs = nextTime(nowMs, mNextProbeMs, mCore.mSettings.probeIntervalMs());
            if (!mTargets.isEmpty()) {
                mNextTarget = (mNextTarget + 1) % mTargets.size();
                probe(nowMs, mTargets.get(mNextTarget), out);
            }
        }
        if (nowMs >= mNextRetryMs) {
            mNextRetryMs = nextTime(nowMs, mNextRetryMs, mCore.mSettings.retryGoneMs());
            retryGone(nowMs, out);
        }
        expireSuspects(nowMs);
    }

    /** Returns the next time on a grid, with a random start so that VMs don't act in step. */
    private long nextTime(long nowMs, long lastMs, long intervalMs) {
        if (lastMs == 0 || nowMs - lastMs > intervalMs) {
            return nowMs + 1 + mCore.mRandom.nextInt((int) intervalMs);
        }
        return lastMs + intervalMs;
    }

    private void probe(long nowMs, VmId target, Outbox out) {
        int epoch = mEpoch;
        Ping ping = new Ping(mCore.rumoursFor(target));
        out.add(
                () ->
                        mCore.mNetwork.request(
                                nowMs,
                                target.name(),
                                ping,
                                mCore.mSettings.probeTimeoutMs(),
                                (atMs, reply) ->
                                        mCore.mGuard.run(
                                                atMs, o -> probed(atMs, target, epoch, reply, o))));
    }

    private void probed(
            long nowMs, VmId target, int epoch, Either<Failure, PeerMessage> reply, Outbox out) {
        if (reply.isRight() && reply.get() instanceof Ack ack) {
            mOwnFaults = 0;
            answered(nowMs, target, ack.rumours());
            return;
        }
        Optional<MemberEntry> entry = mCore.mTable.entry(target.name());
        boolean current = entry.isPresent() && entry.get().vm().equals(target);
        if (epoch != mEpoch || !current || entry.get().health() == Health.GONE) {
            return;
        }
        askRelays(nowMs, entry.get(), out);
    }

    private void answered(long nowMs, VmId target, Rumours rumours) {
        if (mCore.absorb(nowMs, target, rumours)) {
            mSync.want(target.name());
        }
        mSync.compare(nowMs, target.name(), rumours.digest());
    }

    private void askRelays(long nowMs, MemberEntry target, Outbox out) {
        List<VmId> relays = relays(target);
        if (relays.isEmpty()) {
            suspect(nowMs, target.vm());
            return;
        }
        RelayRound round = new RelayRound(target.vm(), mEpoch, relays.size());
        long timeoutMs = RELAY_TIMEOUTS * mCore.mSettings.probeTimeoutMs();
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
                                            mCore.mGuard.run(
                                                    atMs,
                                                    o -> relayed(atMs, relay, round, reply))));
        }
    }

    /** Chooses relays: one near the target, one near us, the others anywhere. */
    private List<VmId> relays(MemberEntry target) {
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

    private void relayed(
            long nowMs, VmId relay, RelayRound round, Either<Failure, PeerMessage> reply) {
        round.mOpen--;
        if (reply.isRight() && reply.get() instanceof IndirectAck ack) {
            round.mAnswered++;
            round.mReached |= ack.reached();
            answered(nowMs, relay, ack.rumours());
        }
        if (round.mOpen > 0 || round.mEpoch != mEpoch) {
            return;
        }
        if (round.mReached) {
            mCore.heardFrom(nowMs, round.mTarget);
            return;
        }
        if (round.mAnswered == 0) {
            mOwnFaults = Math.min(mOwnFaults + 1, MAX_OWN_FAULTS);
        }
        suspect(nowMs, round.mTarget);
    }

    private void suspect(long nowMs, VmId target) {
        Optional<MemberEntry> entry = mCore.mTable.entry(target.name());
        boolean accused =
                entry.isPresent()
                        && entry.get().vm().equals(target)
                        && entry.get().health() == Health.LIVE;
        if (accused) {
            mCore.setHealth(nowMs, entry.get(), Health.SUSPECT);
        }
    }

    private void expireSuspects(long nowMs) {
        long suspicionMs = mCore.mSettings.suspicionMs() * (1 + mOwnFaults);
        for (MemberEntry entry : mCore.mTable.entries()) {
            boolean expired = nowMs - entry.sinceMs() >= suspicionMs;
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
