package org.hornbeampass.coordination.quarantine;

import org.hornbeampass.coordination.hash.RendezvousHash;
import org.hornbeampass.coordination.peer.OneWayPeers;
import org.hornbeampass.coordination.peer.PeerMessage;
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
 * The quarantines of a fleet in virtual time, with a store and links that can be cut. Not
 * thread-safe.
 */
final class QuarantineFleet {
    private static final long TICK_MS = 100;
    private static final int DOMAINS = 5;

    private final MemoryPlatform mStore = new MemoryPlatform();
    private final Map<String, Quarantine> mByVm = new HashMap<>();
    private final List<Member> mMembers = new ArrayList<>();
    private final Set<String> mCutOff = new HashSet<>();
    private final Random mRandom = new Random(1);
    private String mKeeper = "";
    private final Set<String> mCutFromStore = new HashSet<>();
    private boolean mStoreAway;
    private int mUnanswered;
    private int mCalls;
    private int mMessages;
    private double mLossShare;
    private long mNowMs = 1_000_000;

    QuarantineFleet(int vms) {
        for (int i = 0; i < vms; i++) {
            start("vm-" + i, i % DOMAINS);
        }
    }

    /** Starts a VM, over its former life if it had one. */
    void start(String name, int domain) {
        Member self = TestMembers.live(name, domain);
        mMembers.removeIf(m -> m.name().equals(name));
        mMembers.add(self);
        chooseKeeper();
        Function<List<Member>, BroadcastPaths> paths = BroadcastPaths.cachedChooser(self);
        mByVm.put(
                name,
                new Quarantine(
                        storeOf(name),
                        new Peers(self.vm()),
                        () -> paths.apply(mMembers),
                        () -> mKeeper.equals(name),
                        mRandom,
                        new SilentListener()));
    }

    private void chooseKeeper() {
        List<String> names = mMembers.stream().map(Member::name).toList();
        mKeeper = RendezvousHash.choose("quarantines", names).orElseThrow();
    }

    /** Ends a VM; the others take it for up until {@link #forget}. */
    void kill(String name) {
        mByVm.remove(name);
    }

    /** Lets the others know that a VM is gone. */
    void forget(String name) {
        mMembers.removeIf(m -> m.name().equals(name));
        chooseKeeper();
    }

    /** Ends all VMs at once and starts them again. */
    void restartAll() {
        List<String> names = List.copyOf(mByVm.keySet());
        mByVm.clear();
        names.forEach(n -> start(n, Math.floorMod(n.hashCode(), DOMAINS)));
    }

    void cutOff(String name, boolean cut) {
        if (cut) {
            mCutOff.add(name);
        } else {
            mCutOff.remove(name);
        }
    }

    /** Lets the store not answer the next writes. */
    void leaveUnanswered(int writes) {
        mUnanswered = writes;
    }

    /** Cuts a VM off from the store alone. */
    void cutFromStore(String name) {
        mCutFromStore.add(name);
    }

    /** Returns the VM that writes to the store first. */
    String keeper() {
        return mKeeper;
    }

    void setStoreAway(boolean away) {
        mStoreAway = away;
    }

    void loseMessages(double share) {
        mLossShare = share;
    }

    /** Lets time pass. */
    void run(long ms) {
        for (long until = mNowMs + ms; mNowMs < until; mNowMs += TICK_MS) {
            List.copyOf(mByVm.values()).forEach(q -> q.tick(mNowMs));
        }
    }

    void crash(String vm, String upstream, RequestDigest... requests) {
        mByVm.get(vm).onCrash(mNowMs, new UpstreamIncarnation(upstream, 1), List.of(requests));
    }

    void answer(String vm, RequestDigest request) {
        mByVm.get(vm).clear(mNowMs, request);
    }

    RequestStanding standing(String vm, RequestDigest request) {
        return mByVm.get(vm).suspects().standing(request);
    }

    /** Returns the VMs at which a quarantined request may run once more. */
    List<String> takeTrials(RequestDigest request) {
        return mByVm.keySet().stream()
                .filter(vm -> mByVm.get(vm).takeTrial(mNowMs, request))
                .toList();
    }

    /** Ends a trial of a request at a VM. */
    void endTrial(String vm, RequestDigest request) {
        mByVm.get(vm).endTrial(mNowMs, request);
    }

    /** Returns how many VMs keep a request from upstreams. */
    long quarantinedAt(RequestDigest request) {
        return mByVm.values().stream()
                .filter(q -> q.suspects().standing(request) == RequestStanding.QUARANTINED)
                .count();
    }

    int calls() {
        return mCalls;
    }

    int messages() {
        return mMessages;
    }

    /** Deletes the record of a quarantine, as operators do. */
    void deleteRecord(RequestDigest request) {
        String key = QuarantineRecords.PREFIX + request;
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

    /** Returns whether the store holds the record of a quarantine. */
    boolean recorded(RequestDigest request) {
        List<PlatformReply> replies = new ArrayList<>();
        mStore.submit(
                mNowMs,
                new PlatformCall.Get(QuarantineRecords.PREFIX + request),
                (t, reply) -> replies.add(reply));
        return replies.get(0) instanceof PlatformReply.Found;
    }

    private Platform storeOf(String vm) {
        return (nowMs, call, done) -> {
            mCalls++;
            if (mUnanswered > 0 && call instanceof PlatformCall.Create) {
                mUnanswered--;
                return;
            }
            if (mStoreAway || mCutFromStore.contains(vm)) {
                done.accept(nowMs, new PlatformReply.Unavailable("away"));
            } else {
                mStore.submit(nowMs, call, done);
            }
        };
    }

    /** Hands messages straight to VMs that can be reached. */
    private final class Peers extends OneWayPeers {
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
                            || mCutOff.contains(vmName)
                            || mCutOff.contains(mSelf.name())
                            || mRandom.nextDouble() < mLossShare;
            if (!lost) {
                receiver.onReport(mNowMs, mSelf, (SuspectReport) message, reply -> {});
            }
        }
    }

    /** Takes verdicts and does nothing with them. */
    static final class SilentListener implements SuspectListener {
        @Override
        public void onQuarantined(
                long nowMs, RequestDigest digest, List<UpstreamIncarnation> crashes) {}

        @Override
        public void onReleased(long nowMs, RequestDigest digest) {}

        @Override
        public void onRecordFailed(long nowMs, String key, String reason) {}
    }
}
