package org.hornbeampass.coordination.membership;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.member.ListedVm;
import org.hornbeampass.state.member.Member;
import org.hornbeampass.state.member.MemberState;
import org.hornbeampass.state.member.MembershipView;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/**
 * Which routers are up, as one VM knows it: probes, gossip, and the platform's list as slow truth.
 *
 * <p>Invariants: {@link #view()} always holds this VM itself; no older incarnation replaces a newer
 * one; a VM that left does not come back with the same incarnation, whatever a peer or the list
 * says; {@link MembershipListener#onProvedGone} never rests on silence alone. Thread-safe: one lock
 * guards all state, and it is released before anything is sent or any listener is called, so no
 * other lock is ever taken while it is held.
 */
public final class Membership {
    private static final long HOUSEKEEPING_MS = 5_000;
    private static final int GOSSIP_BURST = 4;

    private final Object mLock = new Object();
    private final List<MembershipListener> mListeners = new CopyOnWriteArrayList<>();
    private final Map<String, String> mCandidates = new TreeMap<>();
    private final MembershipSettings mSettings;
    private final MembershipCore mCore;
    private final TableSync mSync;
    private final Prober mProber;
    private final GoneEvidence mEvidence;
    private volatile MembershipView mView;
    private long mLastTickMs;
    private long mNextHousekeepingMs;
    private long mNextCandidateMs;
    private double mGossipTokens = GOSSIP_BURST;

    /**
     * Makes the membership of one VM; call {@link #tick} every 100 to 200 ms from then on.
     *
     * @param self this VM
     * @param network sends messages to other VMs
     * @param seeds VMs to ask first
     * @param settings intervals and bounds
     * @param random chooses relays and spreads the VMs' timers
     */
    public Membership(
            Member self,
            PeerNetwork network,
            List<Seed> seeds,
            MembershipSettings settings,
            Random random) {
        mSettings = settings;
        MemberDetails details =
                new MemberDetails(
                        self.httpAddress(), self.peerAddress(), self.region(), self.domain());
        boolean leaving = self.state() == MemberState.LEAVING;
        MemberUpdate update =
                MemberUpdate.of(self.vm(), 0, Health.LIVE, leaving, Optional.of(details));
        MemberTable table = new MemberTable(0, update, details);
        mCore = new MembershipCore(settings, network, random, this::locked, table);
        mSync = new TableSync(mCore);
        mProber = new Prober(mCore, mSync);
        mEvidence = new GoneEvidence(table, settings.silenceMs());
        seeds.forEach(s -> addCandidate(s.name(), s.peerAddress()));
        mView = new MembershipView(self.vm(), List.of(table.self().toMember()));
    }

    /** Returns what this VM knows now; never waits. */
    public MembershipView view() {
        return mView;
    }

    /** Adds VMs to ask for others; this VM itself is left out. */
    public void addSeeds(List<Seed> seeds) {
        synchronized (mLock) {
            seeds.forEach(s -> addCandidate(s.name(), s.peerAddress()));
        }
    }

    /** Adds a listener, which hears of what changes from now on. */
    public void addListener(MembershipListener listener) {
        mListeners.add(listener);
    }

    /** Returns where a VM listens for other routers, from members, seeds and the list. */
    public Optional<String> peerAddress(String vmName) {
        Optional<String> known = mView.member(vmName).map(Member::peerAddress);
        if (known.isPresent()) {
            return known;
        }
        synchronized (mLock) {
            return Optional.ofNullable(mCandidates.get(vmName));
        }
    }

    /** Returns whether a newer incarnation of this VM's name runs, so that this one must stop. */
    public boolean superseded() {
        synchronized (mLock) {
            return mCore.superseded();
        }
    }

    /** Returns whether an incarnation is proved not to run any more, also one never heard of. */
    public boolean isProvedGone(VmId vm) {
        synchronized (mLock) {
            return mEvidence.provedGone(vm);
        }
    }

    /**
     * Announces to all others that this VM shuts down; can't be taken back.
     *
     * @param nowMs the present time in milliseconds
     */
    public void leave(long nowMs) {
        locked(
                nowMs,
                out -> {
                    mCore.mTable.self().markLeaving();
                    mCore.spread(mCore.mTable.self(), false);
                });
    }

    /**
     * Announces the configuration's revision that this VM runs.
     *
     * @param nowMs the present time in milliseconds
     * @param revision the revision; ignored unless it is higher than the last one
     */
    public void announceRevision(long nowMs, long revision) {
        locked(nowMs, out -> mCore.announce(mCore.mConfigurations, revision));
    }

    /**
     * Announces the newest change of an upstream that this VM knows.
     *
     * @param nowMs the present time in milliseconds
     * @param revision its revision; ignored unless it is higher than the last one
     */
    public void announceUpstreamsRevision(long nowMs, long revision) {
        locked(nowMs, out -> mCore.announce(mCore.mUpstreams, revision));
    }

    /**
     * Takes the platform's list of VMs, which may lag: it adds VMs to ask, shows which ones leave,
     * and helps to prove incarnations gone; it never brings one back.
     *
     * @param nowMs the present time in milliseconds
     * @param version grows with each change of the list; a lower one than before is ignored
     * @param list the whole list
     */
    public void onPlatformList(long nowMs, long version, List<ListedVm> list) {
        locked(
                nowMs,
                out -> {
                    if (mEvidence.take(nowMs, version, list)) {
                        mEvidence.listed().forEach(vm -> takeListed(nowMs, vm));
                        proveGone();
                    }
                });
    }

    private void takeListed(long nowMs, ListedVm listed) {
        Optional<MemberEntry> entry = mCore.mTable.entry(listed.vm().name());
        if (entry.isEmpty() || listed.vm().incarnation() > entry.get().vm().incarnation()) {
            addCandidate(listed.vm().name(), listed.peerAddress());
            mNextCandidateMs = Math.min(mNextCandidateMs, nowMs);
            return;
        }
        boolean same = entry.get().vm().equals(listed.vm());
        if (same && listed.leaving() && !entry.get().leaving()) {
            entry.get().markLeaving();
            mCore.spread(entry.get(), false);
        }
    }

    private void addCandidate(String name, String peerAddress) {
        if (!name.equals(mCore.mTable.selfId().name())) {
            mCandidates.put(name, peerAddress);
        }
    }

    /**
     * Does what is due: probes, suspicions, news, comparisons.
     *
     * @param nowMs the present time in milliseconds
     */
    public void tick(long nowMs) {
        locked(nowMs, out -> tick(nowMs, out));
    }

    private void tick(long nowMs, Outbox out) {
        long gapMs = mLastTickMs == 0 ? 0 : nowMs - mLastTickMs;
        mLastTickMs = nowMs;
        if (gapMs >= mSettings.pauseMs()) {
            wakeUp(gapMs);
        }
        refillTokens(gapMs);
        mProber.tick(nowMs, out);
        askCandidate(nowMs);
        mSync.tick(nowMs, out);
        spreadNews(out);
        mCore.passRefused(nowMs, out);
        if (nowMs >= mNextHousekeepingMs) {
            mNextHousekeepingMs = nowMs + HOUSEKEEPING_MS;
            housekeeping(nowMs);
        }
    }

    /** Gives suspects the time that this VM slept, and voids probes whose replies it missed. */
    private void wakeUp(long gapMs) {
        mProber.voidPending();
        for (MemberEntry entry : mCore.mTable.entries()) {
            if (entry.health() == Health.SUSPECT) {
                entry.postpone(gapMs);
            }
        }
    }

    private void refillTokens(long gapMs) {
        double refill = gapMs * mSettings.gossipPerSecond() / 1_000.0;
        mGossipTokens = Math.min(GOSSIP_BURST, mGossipTokens + refill);
    }

    private void spreadNews(Outbox out) {
        if (mGossipTokens < 1 || !mCore.takeNews()) {
            return;
        }
        List<VmId> targets = new ArrayList<>(mProber.targets());
        java.util.Collections.shuffle(targets, mCore.mRandom);
        for (VmId target : targets) {
            if (mGossipTokens < 1) {
                return;
            }
            mGossipTokens--;
            Gossip gossip = new Gossip(mCore.rumoursFor(target));
            out.add(() -> mCore.mNetwork.send(target.name(), gossip));
        }
    }

    /** Asks a seed or listed VM that is not a live member, quickly while there is no other. */
    private void askCandidate(long nowMs) {
        if (nowMs < mNextCandidateMs || !mSync.idle()) {
            return;
        }
        List<String> strangers = mCandidates.keySet().stream().filter(this::notLive).toList();
        boolean alone = mProber.targets().isEmpty();
        mNextCandidateMs = nowMs + (alone ? mSettings.syncIntervalMs() : mSettings.retrySeedMs());
        if (!strangers.isEmpty()) {
            mSync.want(strangers.get(mCore.mRandom.nextInt(strangers.size())));
        }
    }

    private boolean notLive(String name) {
        return mCore.mTable.entry(name).filter(e -> e.health() != Health.GONE).isEmpty();
    }

    private void housekeeping(long nowMs) {
        mSync.forgetOld(nowMs);
        proveGone();
        List<MemberEntry> old =
                mCore.mTable.entries().stream()
                        .filter(e -> e.health() == Health.GONE)
                        .filter(e -> nowMs - e.heardMs() >= mSettings.forgetMs())
                        .toList();
        old.forEach(mCore::forget);
    }

    private void proveGone() {
        Collection<MemberEntry> entries = mCore.mTable.entries();
        List<MemberEntry> proved =
                entries.stream()
                        .filter(e -> e != mCore.mTable.self())
                        .filter(e -> mEvidence.provedGone(e.vm()))
                        .toList();
        proved.forEach(mCore::proveGone);
    }

    /** Handles {@link Ping}; a {@code PeerHandler}. */
    public void onPing(long nowMs, VmId from, Ping ping, Consumer<PeerMessage> reply) {
        locked(
                nowMs,
                out -> {
                    absorb(nowMs, from, ping.rumours());
                    Ack ack = new Ack(mCore.rumoursFor(from));
                    out.add(() -> reply.accept(ack));
                });
    }

    /** Handles {@link Gossip}, which has no reply; a {@code PeerHandler}. */
    public void onGossip(long nowMs, VmId from, Gossip gossip, Consumer<PeerMessage> reply) {
        locked(nowMs, o -> absorb(nowMs, from, gossip.rumours()));
    }

    /** Handles {@link IndirectPing}: probes the third VM and tells what came of it. */
    public void onIndirectPing(
            long nowMs, VmId from, IndirectPing ping, Consumer<PeerMessage> reply) {
        locked(
                nowMs,
                out -> {
                    absorb(nowMs, from, ping.rumours());
                    String target = ping.target();
                    Ping probe =
                            new Ping(
                                    mCore.mTable
                                            .entry(target)
                                            .map(e -> mCore.rumoursFor(e.vm()))
                                            .orElseGet(() -> mCore.rumours(List.of())));
                    out.add(() -> relay(nowMs, from, target, probe, reply));
                });
    }

    private void relay(
            long nowMs, VmId from, String target, Ping probe, Consumer<PeerMessage> reply) {
        mCore.mNetwork.request(
                nowMs,
                target,
                probe,
                mSettings.probeTimeoutMs(),
                (atMs, answer) ->
                        locked(
                                atMs,
                                out -> {
                                    IndirectAck ack =
                                            new IndirectAck(
                                                    answer.isRight(), mCore.rumoursFor(from));
                                    out.add(() -> reply.accept(ack));
                                }));
    }

    /** Handles {@link SyncRequest}; a {@code PeerHandler}. */
    public void onSyncRequest(
            long nowMs, VmId from, SyncRequest request, Consumer<PeerMessage> reply) {
        boolean wellFormed =
                request.self().vm().equals(from) && request.buckets().size() == MemberTable.BUCKETS;
        if (!wellFormed) {
            return;
        }
        locked(
                nowMs,
                out -> {
                    mCore.merge(nowMs, request.self(), Optional.empty());
                    mCore.heardFrom(nowMs, from);
                    SyncReply answer = mSync.answer(request);
                    out.add(() -> reply.accept(answer));
                });
    }

    private void absorb(long nowMs, VmId from, Rumours rumours) {
        if (mCore.absorb(nowMs, from, rumours)) {
            mSync.want(from.name());
        }
        mSync.compare(nowMs, from.name(), rumours.digest());
    }

    /** Runs one step under the lock, and what it leads to after the lock is released. */
    private void locked(long nowMs, Consumer<Outbox> step) {
        Outbox out = new Outbox();
        synchronized (mLock) {
            step.accept(out);
            publish(nowMs, out);
        }
        out.run();
    }

    private void publish(long nowMs, Outbox out) {
        if (mCore.takeChanged()) {
            mProber.refreshTargets();
            MembershipView view =
                    new MembershipView(
                            mCore.mTable.selfId(),
                            mCore.mTable.entries().stream().map(MemberEntry::toMember).toList());
            mView = view;
            out.add(() -> mListeners.forEach(l -> l.onChange(nowMs, view)));
        }
        mCore.takeNewSuspects().forEach(mProber::confirm);
        for (VmId vm : mCore.takeProvedGone()) {
            out.add(() -> mListeners.forEach(l -> l.onProvedGone(nowMs, vm)));
        }
        for (HeardRevisions.Heard heard : mCore.mConfigurations.takeNew()) {
            tell(out, l -> l.onRevisionHeard(nowMs, heard.from(), heard.revision()));
        }
        for (HeardRevisions.Heard heard : mCore.mUpstreams.takeNew()) {
            tell(out, l -> l.onUpstreamsRevisionHeard(nowMs, heard.from(), heard.revision()));
        }
    }

    private void tell(Outbox out, Consumer<MembershipListener> what) {
        out.add(() -> mListeners.forEach(what));
    }
}
