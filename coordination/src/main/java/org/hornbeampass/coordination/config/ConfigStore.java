package org.hornbeampass.coordination.config;

import io.vavr.control.Either;

import org.hornbeampass.coordination.membership.Membership;
import org.hornbeampass.coordination.membership.MembershipListener;
import org.hornbeampass.coordination.membership.Outbox;
import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.ViewKind;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.config.ConfigChange;
import org.hornbeampass.state.config.ConfigSnapshot;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The configuration of one VM: appends operators' changes to the log on the platform, and follows
 * that log by a watch or through peers.
 *
 * <p>Invariants: {@link #snapshot()} never returns an older revision than before; a change is
 * reported as accepted only after it has been stored on the platform, so it survives the loss of
 * every VM; two VMs at the same revision have the same configuration. Thread-safe: one lock guards
 * all state, and it is released before any message is sent or any callback is run, so no other lock
 * is taken while it is held.
 */
public final class ConfigStore {
    private final Object mLock = new Object();
    private final List<ConfigListener> mListeners = new CopyOnWriteArrayList<>();
    private final Membership mMembership;
    private final ConfigState mState;
    private final ConfigRoles mRoles;
    private final ConfigSnapshots mSnapshots;
    private final LogFollower mLogFollower;
    private final PeerFollower mPeerFollower;
    private final ProposalQueue mProposals;
    private final RevisionTracker mRevisionTracker;
    private final SnapshotWriter mSnapshotWriter;
    private volatile ConfigSnapshot mSnapshot = ConfigSnapshot.empty();
    private volatile boolean mReady;

    /**
     * Creates the store of one VM. {@link #tick} must then be called every 100 to 200 ms.
     *
     * @param self this VM
     * @param platform stores the log of changes and the snapshots
     * @param network sends messages to other VMs
     * @param membership provides the live VMs and announces the newest revision between them
     * @param settings intervals and limits
     * @param random chooses peers and adds jitter to timers
     */
    public ConfigStore(
            VmId self,
            Platform platform,
            PeerNetwork network,
            Membership membership,
            ConfigSettings settings,
            Random random) {
        mMembership = membership;
        mState =
                new ConfigState(
                        self,
                        platform,
                        network,
                        membership::view,
                        settings,
                        random,
                        this::runLocked);
        mRoles = new ConfigRoles(self, membership::view);
        mSnapshots = new ConfigSnapshots(platform, self);
        mLogFollower = new LogFollower(mState, mRoles, mSnapshots);
        mPeerFollower = new PeerFollower(mState);
        mProposals = new ProposalQueue(mState);
        mRevisionTracker = new RevisionTracker(mState, mRoles);
        mSnapshotWriter = new SnapshotWriter(mState, mRoles, mSnapshots);
        membership.addListener(
                new MembershipListener() {
                    @Override
                    public void onPeerRevision(
                            long nowMs, VmId from, ViewKind view, long revision) {
                        if (view != ViewKind.CONFIGURATION) {
                            return;
                        }
                        runLocked(
                                nowMs,
                                o -> mPeerFollower.onRevisionAnnounced(nowMs, from, revision, o));
                    }
                });
    }

    /** Returns the configuration applied on this VM. Never blocks. */
    public ConfigSnapshot snapshot() {
        return mSnapshot;
    }

    /** Adds a listener, which receives configurations applied from now on. */
    public void addListener(ConfigListener listener) {
        mListeners.add(listener);
    }

    /** Returns the newest revision that this VM knows to exist, applied or not. */
    public long newestKnownRevision() {
        synchronized (mLock) {
            return mState.newestKnownRevision();
        }
    }

    /**
     * Returns whether this VM has a configuration that it may serve requests with: the platform's
     * newest or, during a platform outage, the newest of several peers. Never becomes false again.
     */
    public boolean ready() {
        return mReady;
    }

    /** Returns why this VM is not ready; empty if it is ready. */
    public Optional<Failure> readinessFailure() {
        if (mReady) {
            return Optional.empty();
        }
        return Optional.of(
                Failure.of(
                        ErrorKind.NOT_READY,
                        "no configuration yet: neither the platform nor enough peers have answered;"
                                + " check the platform's address and the seeds"));
    }

    /**
     * Returns how many changes of another history were rejected; an operator must act if it is
     * above 0.
     */
    public long foreignEntries() {
        synchronized (mLock) {
            return mState.foreignEntries();
        }
    }

    /** Returns whether this VM watches the log on the platform. */
    public boolean watching() {
        synchronized (mLock) {
            return mLogFollower.watching();
        }
    }

    /** Returns when this VM last received the end of the log from the platform, in milliseconds. */
    public OptionalLong lastConfirmedMs() {
        synchronized (mLock) {
            return mLogFollower.lastConfirmedMs();
        }
    }

    /**
     * Proposes a change.
     *
     * @param nowMs the present time in milliseconds
     * @param change the change
     * @param expectedObjectRevision the revision of the object's last change that the operator
     *     read, or 0 if the object must not exist; if empty, the object's revision on this VM
     * @param done receives the time in milliseconds and the change's revision, or one of these
     *     failures: {@code REVISION_CONFLICT}, naming the object's newer revision; {@code
     *     FIELD_INVALID} or {@code NOT_FOUND}, saying how to correct the change; {@code NOT_READY};
     *     {@code OVERLOADED}; or {@code OUTCOME_UNKNOWN} if the platform did not confirm the change
     *     in time
     */
    public void propose(
            long nowMs,
            ConfigChange change,
            OptionalLong expectedObjectRevision,
            BiConsumer<Long, Either<Failure, Long>> done) {
        runLocked(
                nowMs,
                out -> {
                    Optional<Failure> notReady = readinessFailure();
                    if (notReady.isPresent()) {
                        out.add(() -> done.accept(nowMs, Either.left(notReady.get())));
                        return;
                    }
                    long expected =
                            expectedObjectRevision.orElseGet(
                                    () ->
                                            mState.mHistory
                                                    .snapshot()
                                                    .objectRevision(change.object()));
                    mProposals.add(nowMs, change, expected, done, out);
                });
    }

    /**
     * Returns the last reported revision of each VM that is not gone. A call starts querying the
     * collectors for some seconds, so call it about once a second while waiting for a revision to
     * reach every VM.
     *
     * @param nowMs the present time in milliseconds
     */
    public List<VmRevision> vmRevisions(long nowMs) {
        synchronized (mLock) {
            return mRevisionTracker.vmRevisions(nowMs);
        }
    }

    /**
     * Runs what is due: platform and peer calls, proposals, reports and snapshots.
     *
     * @param nowMs the present time in milliseconds
     */
    public void tick(long nowMs) {
        runLocked(
                nowMs,
                out -> {
                    mLogFollower.tick(nowMs, out);
                    mPeerFollower.tick(nowMs, mReady, out);
                    mProposals.tick(nowMs, out);
                    mRevisionTracker.tick(nowMs, out);
                    mSnapshotWriter.tick(nowMs, out);
                });
    }

    /** Handles {@link PullRequest}; a {@code PeerHandler}. */
    public void onPullRequest(
            long nowMs, VmId from, PullRequest request, Consumer<PeerMessage> reply) {
        runLocked(
                nowMs,
                out -> {
                    PullReply answer = mPeerFollower.handlePull(request, mReady);
                    out.add(() -> reply.accept(answer));
                });
    }

    /** Handles {@link SnapshotRequest}; a {@code PeerHandler}. */
    public void onSnapshotRequest(
            long nowMs, VmId from, SnapshotRequest request, Consumer<PeerMessage> reply) {
        runLocked(
                nowMs,
                out -> mPeerFollower.handleSnapshotRequest(nowMs, request, mReady, reply, out));
    }

    /** Handles {@link RevisionReport}, which has no reply; a {@code PeerHandler}. */
    public void onRevisionReport(
            long nowMs, VmId from, RevisionReport report, Consumer<PeerMessage> reply) {
        runLocked(nowMs, out -> mRevisionTracker.addReport(nowMs, from, report.revision()));
    }

    /** Handles {@link RevisionsRequest}; a {@code PeerHandler}. */
    public void onRevisionsRequest(
            long nowMs, VmId from, RevisionsRequest request, Consumer<PeerMessage> reply) {
        runLocked(
                nowMs,
                out -> {
                    RevisionsReply answer = mRevisionTracker.handleRequest(nowMs, request);
                    out.add(() -> reply.accept(answer));
                });
    }

    /**
     * Runs a step under the lock, and the sends and callbacks that it queued after releasing it.
     */
    private void runLocked(long nowMs, Consumer<Outbox> step) {
        Outbox out = new Outbox();
        synchronized (mLock) {
            step.accept(out);
            publish(nowMs, out);
        }
        out.run();
    }

    private void publish(long nowMs, Outbox out) {
        if (mState.getAndClearChanged()) {
            ConfigSnapshot snapshot = mState.mHistory.snapshot();
            mSnapshot = snapshot;
            mRevisionTracker.dropFormerIncarnations();
            out.add(
                    () ->
                            mMembership.announceRevision(
                                    nowMs, ViewKind.CONFIGURATION, snapshot.revision()));
            out.add(() -> mListeners.forEach(l -> l.onChange(nowMs, snapshot)));
        }
        mReady |= mLogFollower.reachedEnd() || hasEnoughPeers();
    }

    private boolean hasEnoughPeers() {
        int peers = mMembership.view().members().size() - 1;
        int required = Math.max(1, Math.min(mState.mSettings.minStartPeers(), peers));
        return mPeerFollower.readyPeerCount() >= required
                && mState.mHistory.revision() >= mState.newestKnownRevision();
    }
}
