package org.hornbeampass.coordination.quarantine;

import org.hornbeampass.coordination.hash.RendezvousHash;
import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.SendOnlyPeerNetwork;
import org.hornbeampass.coordination.platform.MemoryPlatform;
import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.coordination.service.BroadcastPaths;
import org.hornbeampass.coordination.service.TestMembers;
import org.hornbeampass.coordination.service.UpstreamIncarnation;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.member.Member;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;

/**
 * Simulates the quarantines of a fleet in virtual time, with failures of the store, of VMs and of
 * the network. Not thread-safe.
 */
final class QuarantineFleet {
    private static final long TICK_MS = 100;
    private static final int DOMAINS = 5;

    private final MemoryPlatform mStore = new MemoryPlatform();
    private final Map<String, Quarantine> mByVm = new HashMap<>();
    private final List<Member> mMembers = new ArrayList<>();
    private final Set<String> mPartitioned = new HashSet<>();
    private final Random mRandom = new Random(1);
    private String mRecordOwner = "";
    private final Set<String> mCutFromStore = new HashSet<>();
    private boolean mStoreUnavailable;
    private int mWritesToLeaveUnanswered;
    private int mStoreCalls;
    private int mMessages;
    private int mCrashNotifications;
    private double mLossShare;
    private long mNowMs = 1_000_000;

    QuarantineFleet(int vms) {
        for (int i = 0; i < vms; i++) {
            start("vm-" + i, i % DOMAINS);
        }
    }

    /** Starts a VM, replacing an earlier incarnation of the same name. */
    void start(String name, int domain) {
        Member self = TestMembers.live(name, domain);
        mMembers.removeIf(m -> m.name().equals(name));
        mMembers.add(self);
        chooseRecordOwner();
        Function<List<Member>, BroadcastPaths> paths = BroadcastPaths.cachedChooser(self);
        Quarantine quarantine =
                new Quarantine(
                        storeOf(name),
                        new Peers(self.vm()),
                        () -> paths.apply(mMembers),
                        () -> mRecordOwner.equals(name),
                        mRandom,
                        new NoOpListener());
        quarantine.setCrashListener((nowMs, crash) -> mCrashNotifications++);
        mByVm.put(name, quarantine);
    }

    private void chooseRecordOwner() {
        List<String> names = mMembers.stream().map(Member::name).toList();
        mRecordOwner = RendezvousHash.choose("quarantines", names).orElseThrow();
    }

    /** Ends a VM; the others consider it a member until {@link #removeMember}. */
    void kill(String name) {
        mByVm.remove(name);
    }

    /** Removes a VM from the members that the others know. */
    void removeMember(String name) {
        mMembers.removeIf(m -> m.name().equals(name));
        chooseRecordOwner();
    }

    /** Ends all VMs at once and starts them again. */
    void restartAll() {
        List<String> names = List.copyOf(mByVm.keySet());
        mByVm.clear();
        names.forEach(n -> start(n, Math.floorMod(n.hashCode(), DOMAINS)));
    }

    void setPartitioned(String name, boolean partitioned) {
        if (partitioned) {
            mPartitioned.add(name);
        } else {
            mPartitioned.remove(name);
        }
    }

    /** Makes the store leave a number of writes unanswered. */
    void leaveWritesUnanswered(int writes) {
        mWritesToLeaveUnanswered = writes;
    }

    /** Makes the store unavailable to one VM. */
    void cutFromStore(String name) {
        mCutFromStore.add(name);
    }

    /** Returns the record owner, which writes to the store first. */
    String recordOwner() {
        return mRecordOwner;
    }

    void setStoreUnavailable(boolean unavailable) {
        mStoreUnavailable = unavailable;
    }

    void loseMessages(double share) {
        mLossShare = share;
    }

    /** Advances the time by a number of milliseconds. */
    void run(long ms) {
        for (long until = mNowMs + ms; mNowMs < until; mNowMs += TICK_MS) {
            List.copyOf(mByVm.values()).forEach(q -> q.tick(mNowMs));
        }
    }

    void crash(String vm, String upstream, SuspectDigest... requests) {
        mByVm.get(vm).onCrash(mNowMs, new UpstreamIncarnation(upstream, 1), List.of(requests));
    }

    void answer(String vm, SuspectDigest request) {
        mByVm.get(vm).clear(mNowMs, request);
    }

    /** Counts the arrival of requests with a prompt part at a VM. */
    void arrive(String vm, SuspectDigest part, int requests) {
        for (int i = 0; i < requests; i++) {
            mByVm.get(vm).suspects().onArrival(part);
        }
    }

    QuarantineStatus status(String vm, SuspectDigest request) {
        return mByVm.get(vm).suspects().status(request);
    }

    /** Starts a trial of a request on each VM that allows one; returns these VMs. */
    List<String> startTrials(SuspectDigest request) {
        return mByVm.keySet().stream().filter(vm -> tryStartTrial(vm, request)).toList();
    }

    /** Starts a trial of what a request holds if the VM allows one; returns whether it does. */
    boolean tryStartTrial(String vm, SuspectDigest... subjects) {
        return mByVm.get(vm).tryStartTrial(mNowMs, List.of(subjects));
    }

    /** Handles a successful answer to a request that was sent just now. */
    void answerPart(String vm, SuspectDigest part) {
        mByVm.get(vm).clearPart(mNowMs, part, mNowMs);
    }

    /** Ends a trial of a request on a VM. */
    void endTrial(String vm, SuspectDigest request) {
        mByVm.get(vm).endTrial(mNowMs, request);
    }

    /** Returns the number of VMs on which a request is quarantined. */
    long quarantinedVmCount(SuspectDigest request) {
        return mByVm.values().stream()
                .filter(q -> q.suspects().status(request) == QuarantineStatus.QUARANTINED)
                .count();
    }

    int storeCalls() {
        return mStoreCalls;
    }

    int messages() {
        return mMessages;
    }

    /** Returns whether a VM attributes lost connections to the crash of an upstream. */
    boolean hasJustCrashed(String vm, String upstream) {
        return mByVm.get(vm).hasJustCrashed(mNowMs, new UpstreamIncarnation(upstream, 1));
    }

    /** Returns how many crashes the VMs were notified of, added up over all VMs. */
    int crashNotifications() {
        return mCrashNotifications;
    }

    /** Deletes the record of a quarantine, as operators do. */
    void deleteRecord(SuspectDigest request) {
        String key = QuarantineStore.PREFIX + request;
        mStore.submit(
                mNowMs,
                new PlatformCall.Get(key),
                (t, found) ->
                        mStore.submit(
                                t,
                                new PlatformCall.Delete(
                                        key, ((PlatformReply.Found) found).object().version()),
                                (u, deleted) -> {}));
    }

    /** Returns a copy of the store's objects, for {@link #restoreStore}. */
    MemoryPlatform.Copy copyStore() {
        return mStore.copy();
    }

    /** Restores the store from a copy, which all VMs learn at once. */
    void restoreStore(MemoryPlatform.Copy copy) {
        mStore.restore(mNowMs, copy);
        mByVm.values().forEach(q -> q.onEra(mNowMs, mStore.era() - 1, mStore.era()));
    }

    /** Returns whether the store holds the record of a quarantine. */
    boolean isRecorded(SuspectDigest request) {
        List<PlatformReply> replies = new ArrayList<>();
        mStore.submit(
                mNowMs,
                new PlatformCall.Get(QuarantineStore.PREFIX + request),
                (t, reply) -> replies.add(reply));
        return replies.get(0) instanceof PlatformReply.Found;
    }

    private Platform storeOf(String vm) {
        return (nowMs, call, done) -> {
            mStoreCalls++;
            if (mWritesToLeaveUnanswered > 0 && call instanceof PlatformCall.Create) {
                mWritesToLeaveUnanswered--;
                return;
            }
            if (mStoreUnavailable || mCutFromStore.contains(vm)) {
                done.accept(nowMs, new PlatformReply.Unavailable("away"));
            } else {
                mStore.submit(nowMs, call, done);
            }
        };
    }

    /** Delivers messages at once to the VMs that can be reached. */
    private final class Peers extends SendOnlyPeerNetwork {
        private final VmId mSelf;

        Peers(VmId self) {
            mSelf = self;
        }

        @Override
        public void send(String vmName, PeerMessage message) {
            mMessages++;
            Quarantine receiver = mByVm.get(vmName);
            boolean lost =
                    receiver == null
                            || mPartitioned.contains(vmName)
                            || mPartitioned.contains(mSelf.name())
                            || mRandom.nextDouble() < mLossShare;
            if (!lost) {
                receiver.onReport(mNowMs, mSelf, (SuspectReport) message, reply -> {});
            }
        }
    }

    /** Ignores all events. */
    static final class NoOpListener implements QuarantineListener {
        @Override
        public void onQuarantined(
                long nowMs, SuspectDigest digest, List<UpstreamIncarnation> crashes) {}

        @Override
        public void onReleased(long nowMs, SuspectDigest digest) {}

        @Override
        public void onRecordFailed(long nowMs, String key, String reason) {}
    }
}
