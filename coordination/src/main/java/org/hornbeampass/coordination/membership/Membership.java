package org.hornbeampass.coordination.membership;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.state.ViewKind;
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
 * Tracks which routers are up, by probes, gossip and the platform's list of VMs, which lags behind.
 *
 * <p>Invariants: {@link #view()} always contains this VM itself; an older incarnation never
 * replaces a newer one; a VM that left does not return with the same incarnation, whatever a peer
 * or the list reports; {@link MembershipListener#onProvedGone} is never called because of silence
 * alone. Thread-safe: one lock guards all state, and it is released before any message is sent or
 * any listener is called, so no other lock is ever taken while it is held.
 */
public final class Membership {
    private static final long HOUSEKEEPING_MS = 5_000;
    private static final int GOSSIP_BURST = 4;

    private final Object mLock = new Object();
    private final List<MembershipListener> mListeners = new CopyOnWriteArrayList<>();
    private final Map<String, String> mContactAddresses = new TreeMap<>();
    private final MembershipSettings mSettings;
    private final MembershipCore mCore;
    private final TableSync mSync;
    private final Prober mProber;
    private final GoneEvidence mEvidence;
    private volatile MembershipView mView;
    private long mLastTickMs;
    private long mNextHousekeepingMs;
    private long mNextContactMs;
    private double mGossipTokens = GOSSIP_BURST;

    /**
     * Creates the membership of one VM; {@link #tick} must then be called every 100 to 200 ms.
     *
     * @param self this VM
     * @param network sends messages to other VMs
     * @param seeds VMs to contact first
     * @param settings intervals and limits
     * @param random chooses relays and spreads the timers of the VMs
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
        mCore = new MembershipCore(settings, network, random, this::runLocked, table);
        mSync = new TableSync(mCore);
        mProber = new Prober(mCore, mSync);
        mEvidence = new GoneEvidence(table, settings.silenceMs());
        seeds.forEach(s -> addContact(s.name(), s.peerAddress()));
        mView = new MembershipView(self.vm(), List.of(table.self().toMember()));
    }

    /** Returns the current view; never blocks. */
    public MembershipView view() {
        return mView;
    }

    /** Adds VMs from which to get the member table; this VM itself is ignored. */
    public void addSeeds(List<Seed> seeds) {
        synchronized (mLock) {
            seeds.forEach(s -> addContact(s.name(), s.peerAddress()));
        }
    }

    /** Adds a listener, which is called for changes from now on. */
    public void addListener(MembershipListener listener) {
        mListeners.add(listener);
    }

    /**
     * Returns a VM's address for other routers, from the members, the seeds or the platform's list.
     */
    public Optional<String> peerAddress(String vmName) {
        Optional<String> known = mView.member(vmName).map(Member::peerAddress);
        if (known.isPresent()) {
            return known;
        }
        synchronized (mLock) {
            return Optional.ofNullable(mContactAddresses.get(vmName));
        }
    }

    /**
     * Returns whether a newer incarnation of this VM's name is running, so that this one must stop.
     */
    public boolean superseded() {
        synchronized (mLock) {
            return mCore.superseded();
        }
    }

    /**
     * Returns whether an incarnation is proved to have stopped, also one that was never a member.
     */
    public boolean isProvedGone(VmId vm) {
        synchronized (mLock) {
            return mEvidence.isProvedGone(vm);
        }
    }

    /**
     * Announces to all other VMs that this VM is shutting down; can't be revoked.
     *
     * @param nowMs the current time in milliseconds
     */
    public void leave(long nowMs) {
        runLocked(
                nowMs,
                out -> {
                    mCore.mTable.self().markLeaving();
                    mCore.queueUpdate(mCore.mTable.self(), false);
                });
    }

    /**
     * Announces the revision of one of this VM's views of the store.
     *
     * @param nowMs the current time in milliseconds
     * @param view the view
     * @param revision the revision; ignored unless it is higher than the last one
     */
    public void announceRevision(long nowMs, ViewKind view, long revision) {
        runLocked(nowMs, out -> mCore.advanceOwnRevision(view, revision));
    }

    /**
     * Applies the platform's list of VMs, which may lag behind. The list adds VMs to contact, shows
     * which ones are leaving, and helps to prove incarnations gone; it never restores one.
     *
     * @param nowMs the current time in milliseconds
     * @param version increases with each change of the list; a list with a lower one than before is
     *     ignored
     * @param list the whole list
     */
    public void onPlatformList(long nowMs, long version, List<ListedVm> list) {
        runLocked(
                nowMs,
                out -> {
                    if (mEvidence.updateList(nowMs, version, list)) {
                        mEvidence.listed().forEach(vm -> onListedVm(nowMs, vm));
                        removeProvedGone();
                    }
                });
    }

    private void onListedVm(long nowMs, ListedVm listed) {
        Optional<MemberEntry> entry = mCore.mTable.entry(listed.vm().name());
        if (entry.isEmpty() || listed.vm().incarnation() > entry.get().vm().incarnation()) {
            addContact(listed.vm().name(), listed.peerAddress());
            mNextContactMs = Math.min(mNextContactMs, nowMs);
            return;
        }
        boolean same = entry.get().vm().equals(listed.vm());
        if (same && listed.leaving() && !entry.get().leaving()) {
            entry.get().markLeaving();
            mCore.queueUpdate(entry.get(), false);
        }
    }

    private void addContact(String name, String peerAddress) {
        if (!name.equals(mCore.mTable.selfId().name())) {
            mContactAddresses.put(name, peerAddress);
        }
    }

    /**
     * Runs the tasks that are due: probes, suspicion timeouts, gossip and table synchronisation.
     *
     * @param nowMs the current time in milliseconds
     */
    public void tick(long nowMs) {
        runLocked(nowMs, out -> tick(nowMs, out));
    }

    private void tick(long nowMs, Outbox out) {
        long gapMs = mLastTickMs == 0 ? 0 : nowMs - mLastTickMs;
        mLastTickMs = nowMs;
        if (gapMs >= mSettings.pauseMs()) {
            onPauseEnded(gapMs);
        }
        refillTokens(gapMs);
        mProber.tick(nowMs, out);
        syncWithContact(nowMs);
        mSync.tick(nowMs, out);
        sendGossip(out);
        mCore.forwardRejected(nowMs, out);
        if (nowMs >= mNextHousekeepingMs) {
            mNextHousekeepingMs = nowMs + HOUSEKEEPING_MS;
            housekeeping(nowMs);
        }
    }

    /**
     * Extends suspicions by the time that this VM was paused, and discards probes whose replies it
     * missed.
     */
    private void onPauseEnded(long gapMs) {
        mProber.discardPending();
        for (MemberEntry entry : mCore.mTable.entries()) {
            if (entry.health() == Health.SUSPECT) {
                entry.extendSuspicion(gapMs);
            }
        }
    }

    private void refillTokens(long gapMs) {
        double refill = gapMs * mSettings.gossipPerSecond() / 1_000.0;
        mGossipTokens = Math.min(GOSSIP_BURST, mGossipTokens + refill);
    }

    private void sendGossip(Outbox out) {
        if (mGossipTokens < 1 || !mCore.takeGossipDue()) {
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

    /**
     * Synchronises with a seed or listed VM that is not a member, more often while no VM can be
     * probed.
     */
    private void syncWithContact(long nowMs) {
        if (nowMs < mNextContactMs || !mSync.isIdle()) {
            return;
        }
        List<String> contacts =
                mContactAddresses.keySet().stream().filter(this::isUnknownOrGone).toList();
        boolean alone = mProber.targets().isEmpty();
        mNextContactMs = nowMs + (alone ? mSettings.syncIntervalMs() : mSettings.retrySeedMs());
        if (!contacts.isEmpty()) {
            mSync.requestSync(contacts.get(mCore.mRandom.nextInt(contacts.size())));
        }
    }

    private boolean isUnknownOrGone(String name) {
        return mCore.mTable.entry(name).filter(e -> e.health() != Health.GONE).isEmpty();
    }

    private void housekeeping(long nowMs) {
        mSync.removeOldMismatches(nowMs);
        removeProvedGone();
        List<MemberEntry> old =
                mCore.mTable.entries().stream()
                        .filter(e -> e.health() == Health.GONE)
                        .filter(e -> nowMs - e.lastContactMs() >= mSettings.forgetMs())
                        .toList();
        old.forEach(mCore::forget);
    }

    private void removeProvedGone() {
        Collection<MemberEntry> entries = mCore.mTable.entries();
        List<MemberEntry> proved =
                entries.stream()
                        .filter(e -> e != mCore.mTable.self())
                        .filter(e -> mEvidence.isProvedGone(e.vm()))
                        .toList();
        proved.forEach(mCore::removeProvedGone);
    }

    /** Handles {@link Ping}; a {@code PeerHandler}. */
    public void onPing(long nowMs, VmId from, Ping ping, Consumer<PeerMessage> reply) {
        runLocked(
                nowMs,
                out -> {
                    applyRumours(nowMs, from, ping.rumours());
                    Ack ack = new Ack(mCore.rumoursFor(from));
                    out.add(() -> reply.accept(ack));
                });
    }

    /** Handles {@link Gossip}, which has no reply; a {@code PeerHandler}. */
    public void onGossip(long nowMs, VmId from, Gossip gossip, Consumer<PeerMessage> reply) {
        runLocked(nowMs, o -> applyRumours(nowMs, from, gossip.rumours()));
    }

    /** Handles {@link IndirectPing}: probes the third VM and replies with the result. */
    public void onIndirectPing(
            long nowMs, VmId from, IndirectPing ping, Consumer<PeerMessage> reply) {
        runLocked(
                nowMs,
                out -> {
                    applyRumours(nowMs, from, ping.rumours());
                    String target = ping.target();
                    Ping probe =
                            new Ping(
                                    mCore.mTable
                                            .entry(target)
                                            .map(e -> mCore.rumoursFor(e.vm()))
                                            .orElseGet(() -> mCore.rumours(List.of())));
                    out.add(() -> relayProbe(nowMs, from, target, probe, reply));
                });
    }

    private void relayProbe(
            long nowMs, VmId from, String target, Ping probe, Consumer<PeerMessage> reply) {
        mCore.mNetwork.request(
                nowMs,
                target,
                probe,
                mSettings.probeTimeoutMs(),
                (atMs, answer) ->
                        runLocked(
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
                request.self().vm().equals(from)
                        && request.buckets().size() == MemberTable.BUCKET_COUNT;
        if (!wellFormed) {
            return;
        }
        runLocked(
                nowMs,
                out -> {
                    mCore.merge(nowMs, request.self(), Optional.empty());
                    mCore.recordContact(nowMs, from);
                    SyncReply answer = mSync.answer(request);
                    out.add(() -> reply.accept(answer));
                });
    }

    private void applyRumours(long nowMs, VmId from, Rumours rumours) {
        if (mCore.applyRumours(nowMs, from, rumours)) {
            mSync.requestSync(from.name());
        }
        mSync.compareDigest(nowMs, from.name(), rumours.digest());
    }

    /** Runs one step under the lock, and the actions that it added after the lock is released. */
    private void runLocked(long nowMs, Consumer<Outbox> step) {
        Outbox out = new Outbox();
        synchronized (mLock) {
            step.accept(out);
            publish(nowMs, out);
        }
        out.run();
    }

    private void publish(long nowMs, Outbox out) {
        if (mCore.takeViewChanged()) {
            mProber.refreshTargets();
            MembershipView view =
                    new MembershipView(
                            mCore.mTable.selfId(),
                            mCore.mTable.entries().stream().map(MemberEntry::toMember).toList());
            mView = view;
            out.add(() -> mListeners.forEach(l -> l.onChange(nowMs, view)));
        }
        mCore.takeNewSuspects().forEach(mProber::probeSoon);
        for (VmId vm : mCore.takeProvedGone()) {
            out.add(() -> mListeners.forEach(l -> l.onProvedGone(nowMs, vm)));
        }
        for (ViewKind view : ViewKind.values()) {
            for (PeerRevisions.Announcement each : mCore.revisions(view).drainNewer()) {
                notifyListeners(
                        out, l -> l.onPeerRevision(nowMs, each.from(), view, each.revision()));
            }
        }
    }

    private void notifyListeners(Outbox out, Consumer<MembershipListener> notification) {
        out.add(() -> mListeners.forEach(notification));
    }
}
