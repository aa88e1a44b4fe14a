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
 * The configuration of one VM: takes operators' changes into the one order on the platform, and
 * follows that order by watch or by relay from peers.
 *
 * <p>Invariants: {@link #snapshot()} never goes back to an older revision; a change is answered as
 * accepted only once it stands on the platform, so it outlives every VM; two VMs at the same
 * revision hold the same configuration. Thread-safe: one lock guards all state, and it is released
 * before anything is sent or any callback is run, so no other lock is ever taken while it is held.
 */
public final class ConfigStore {
    private final Object mLock = new Object();
    private final List<ConfigListener> mListeners = new CopyOnWriteArrayList<>();
    private final Membership mMembership;
    private final ConfigCore mCore;
    private final ConfigRoles mRoles;
    private final ConfigSnapshots mSnapshots;
    private final LogFollower mLogFollower;
    private final PeerFollower mPeerFollower;
    private final Proposals mProposals;
    private final RevisionBoard mBoard;
    private final SnapshotWriter mSnapshotWriter;
    private volatile ConfigSnapshot mSnapshot = ConfigSnapshot.empty();
    private volatile boolean mReady;

    /**
     * Makes the store of one VM; call {@link #tick} every 100 to 200 ms from then on.
     *
     * @param self this VM
     * @param platform keeps the order of changes
     * @param network sends messages to other VMs
     * @param membership tells who is up, and carries the newest revision between VMs
     * @param settings intervals and bounds
     * @param random chooses peers and spreads the VMs' timers
     */
    public ConfigStore(
            VmId self,
            Platform platform,
            PeerNetwork network,
            Membership membership,
            ConfigSettings settings,
            Random random) {
        mMembership = membership;
        mCore =
                new ConfigCore(
                        self, platform, network, membership::view, settings, random, this::locked);
        mRoles = new ConfigRoles(self, membership::view);
        mSnapshots = new ConfigSnapshots(platform, self);
        mLogFollower = new LogFollower(mCore, mRoles, mSnapshots);
        mPeerFollower = new PeerFollower(mCore);
        mProposals = new Proposals(mCore);
        mBoard = new RevisionBoard(mCore, mRoles);
        mSnapshotWriter = new SnapshotWriter(mCore, mRoles, mSnapshots);
        membership.addListener(
                new MembershipListener() {
                    @Override
                    public void onRevisionHeard(long nowMs, VmId from, long revision) {
                        locked(nowMs, o -> mPeerFollower.heard(nowMs, from, revision, o));
                    }
                });
    }

    /** Returns the configuration in force on this VM; never waits. */
    public ConfigSnapshot snapshot() {
        return mSnapshot;
    }

    /** Adds a listener, which hears of what is applied from now on. */
    public void addListener(ConfigListener listener) {
        mListeners.add(listener);
    }

    /** Returns the newest revision that this VM has heard of, applied or not. */
    public long newestKnownRevision() {
        synchronized (mLock) {
            return mCore.newestHeard();
        }
    }

    /**
     * Returns whether this VM has a configuration that it may serve by: the platform's newest, or
     * in a platform outage the newest of several peers. Once true it stays true.
     */
    public boolean ready() {
        return mReady;
    }

    /** Returns why this VM is not ready; empty where it is. */
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

    /** Returns how many changes of another history were refused; more than 0 needs an operator. */
    public long foreignEntries() {
        synchronized (mLock) {
            return mCore.foreign();
        }
    }

    /** Returns whether this VM holds a watch on the platform's log. */
    public boolean watching() {
        synchronized (mLock) {
            return mLogFollower.watching();
        }
    }

    /** Returns when the platform last told this VM how far the log goes, in milliseconds. */
    public OptionalLong lastConfirmedMs() {
        synchronized (mLock) {
            return mLogFollower.confirmedMs();
        }
    }

    /**
     * Proposes a change.
     *
     * @param nowMs the present time in milliseconds
     * @param change the change
     * @param expectedObjectRevision the revision of the object's last change that the operator saw,
     *     0 for an object that must not exist; where it is empty, what this VM has in force
     * @param done takes the time in milliseconds and the change's revision, or: {@code
     *     REVISION_CONFLICT} naming the revision that won, {@code FIELD_INVALID} or {@code
     *     NOT_FOUND} saying how to mend it, {@code NOT_READY}, {@code OVERLOADED}, or {@code
     *     OUTCOME_UNKNOWN} where the platform did not tell in time
     */
    public void propose(
            long nowMs,
            ConfigChange change,
            OptionalLong expectedObjectRevision,
            BiConsumer<Long, Either<Failure, Long>> done) {
        locked(
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
                                            mCore.mHistory
                                                    .snapshot()
                                                    .objectRevision(change.object()));
                    mProposals.add(nowMs, change, expected, done, out);
                });
    }

    /**
     * Returns which revision each VM that is not gone runs, as far as is known. The first call
     * starts to ask; call again each second or so while waiting for a revision to be everywhere.
     *
     * @param nowMs the present time in milliseconds
     */
    public List<VmRevision> vmRevisions(long nowMs) {
        synchronized (mLock) {
            return mBoard.inForce(nowMs);
        }
    }

    /**
     * Does what is due: platform and peer calls, proposals, reports, snapshots.
     *
     * @param nowMs the present time in milliseconds
     */
    public void tick(long nowMs) {
        locked(
                nowMs,
                out -> {
                    mLogFollower.tick(nowMs, out);
                    mPeerFollower.tick(nowMs, mReady, out);
                    mProposals.tick(nowMs, out);
                    mBoard.tick(nowMs, out);
                    mSnapshotWriter.tick(nowMs, out);
                });
    }

    /** Handles {@link PullRequest}; a {@code PeerHandler}. */
    public void onPullRequest(
            long nowMs, VmId from, PullRequest request, Consumer<PeerMessage> reply) {
        locked(
                nowMs,
                out -> {
                    PullReply answer = mPeerFollower.answer(request, mReady);
                    out.add(() -> reply.accept(answer));
                });
    }

    /** Handles {@link SnapshotRequest}; a {@code PeerHandler}. */
    public void onSnapshotRequest(
            long nowMs, VmId from, SnapshotRequest request, Consumer<PeerMessage> reply) {
        locked(nowMs, out -> mPeerFollower.answerSnapshot(nowMs, request, mReady, reply, out));
    }

    /** Handles {@link RevisionReport}, which has no reply; a {@code PeerHandler}. */
    public void onRevisionReport(
            long nowMs, VmId from, RevisionReport report, Consumer<PeerMessage> reply) {
        locked(nowMs, out -> mBoard.take(nowMs, from, report.revision()));
    }

    /** Handles {@link RevisionsRequest}; a {@code PeerHandler}. */
    public void onRevisionsRequest(
            long nowMs, VmId from, RevisionsRequest request, Consumer<PeerMessage> reply) {
        locked(
                nowMs,
                out -> {
                    RevisionsReply answer = mBoard.answer(nowMs, request);
                    out.add(() -> reply.accept(answer));
                });
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
            ConfigSnapshot snapshot = mCore.mHistory.snapshot();
            mSnapshot = snapshot;
            mBoard.forgetOld();
            out.add(() -> mMembership.announceRevision(nowMs, snapshot.revision()));
            out.add(() -> mListeners.forEach(l -> l.onChange(nowMs, snapshot)));
        }
        mReady |= mLogFollower.reachedEnd() || enoughPeers();
    }

    private boolean enoughPeers() {
        int peers = mMembership.view().members().size() - 1;
        int wanted = Math.max(1, Math.min(mCore.mSettings.minStartPeers(), peers));
        return mPeerFollower.answered() >= wanted
                && mCore.mHistory.revision() >= mCore.newestHeard();
    }
}
