package org.hornbeampass.coordination.config;

import org.hornbeampass.coordination.membership.Outbox;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.member.Member;
import org.hornbeampass.state.member.MemberState;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Tracks the revision of each VM: each VM reports to the collector of its failure domain, and the
 * collectors are queried only while a caller needs the result.
 *
 * <p>Invariant: the tracked revision of a VM never decreases within one incarnation. Not
 * thread-safe: guarded by the lock of {@link ConfigStore}.
 */
final class RevisionTracker {
    private static final long QUERY_PERIOD_MS = 10_000;
    private static final long QUERY_INTERVAL_MS = 1_000;

    private final ConfigState mState;
    private final ConfigRoles mRoles;
    private final Map<VmId, Report> mReports = new HashMap<>();
    private Optional<VmId> mLastCollector = Optional.empty();
    private long mLastReportedRevision = -1;
    private long mNextReportMs;
    private long mQueryUntilMs;
    private long mNextQueryMs;

    /** The newest revision that a VM reported, and when. */
    private record Report(long revision, long reportedAtMs) {}

    RevisionTracker(ConfigState state, ConfigRoles roles) {
        mState = state;
        mRoles = roles;
    }

    void addReport(long reportedAtMs, VmId from, long revision) {
        mReports.merge(
                from,
                new Report(revision, reportedAtMs),
                (a, b) ->
                        new Report(
                                Math.max(a.revision(), b.revision()),
                                Math.max(a.reportedAtMs(), b.reportedAtMs())));
    }

    /**
     * Returns the known revision of each VM that is not gone, and queries the collectors for some
     * seconds.
     */
    List<VmRevision> vmRevisions(long nowMs) {
        mQueryUntilMs = nowMs + QUERY_PERIOD_MS;
        addReport(nowMs, mState.mSelf, mState.mHistory.revision());
        return mState.mView.get().members().stream()
                .filter(m -> m.state() != MemberState.GONE)
                .map(this::revisionOf)
                .toList();
    }

    private VmRevision revisionOf(Member member) {
        Report report = mReports.get(member.vm());
        return report == null
                ? new VmRevision(member, OptionalLong.empty(), OptionalLong.empty())
                : new VmRevision(
                        member,
                        OptionalLong.of(report.revision()),
                        OptionalLong.of(report.reportedAtMs()));
    }

    void tick(long nowMs, Outbox out) {
        sendReport(nowMs, out);
        if (nowMs < mQueryUntilMs && nowMs >= mNextQueryMs) {
            mNextQueryMs = nowMs + QUERY_INTERVAL_MS;
            queryCollectors(nowMs, out);
        }
    }

    private void sendReport(long nowMs, Outbox out) {
        FailureDomain own = mState.mView.get().self().domain();
        Optional<VmId> collector = mRoles.collector(own);
        long revision = mState.mHistory.revision();
        boolean changed = revision != mLastReportedRevision || !collector.equals(mLastCollector);
        if (collector.isEmpty() || (!changed && nowMs < mNextReportMs)) {
            return;
        }
        long reportMs = mState.mSettings.reportIntervalMs();
        mNextReportMs = nowMs + reportMs / 2 + mState.mRandom.nextInt((int) reportMs);
        mLastReportedRevision = revision;
        mLastCollector = collector;
        VmId to = collector.get();
        if (to.equals(mState.mSelf)) {
            addReport(nowMs, to, revision);
        } else {
            out.add(() -> mState.mNetwork.send(to.name(), new RevisionReport(revision)));
        }
    }

    private void queryCollectors(long nowMs, Outbox out) {
        mState.mView.get().members().stream()
                .map(Member::domain)
                .distinct()
                .forEach(domain -> queryCollector(nowMs, domain, out));
    }

    private void queryCollector(long nowMs, FailureDomain domain, Outbox out) {
        Optional<VmId> collector = mRoles.collector(domain).filter(c -> !c.equals(mState.mSelf));
        if (collector.isEmpty()) {
            return;
        }
        out.add(
                () ->
                        mState.mNetwork.request(
                                nowMs,
                                collector.get().name(),
                                new RevisionsRequest(domain),
                                mState.mSettings.pullTimeoutMs(),
                                (atMs, reply) ->
                                        mState.mLockGuard.run(
                                                atMs,
                                                o -> {
                                                    if (reply.isRight()
                                                            && reply.get()
                                                                    instanceof RevisionsReply r) {
                                                        addReports(atMs, r);
                                                    }
                                                })));
    }

    private void addReports(long nowMs, RevisionsReply reply) {
        reply.reports().forEach(r -> addReport(nowMs - r.ageMs(), r.vm(), r.revision()));
    }

    /** Returns the reports of the VMs of one failure domain that are not gone. */
    RevisionsReply handleRequest(long nowMs, RevisionsRequest request) {
        addReport(nowMs, mState.mSelf, mState.mHistory.revision());
        List<RevisionsReply.Reported> reports =
                mState.mView.get().inDomain(request.domain()).stream()
                        .filter(m -> m.state() != MemberState.GONE)
                        .filter(m -> mReports.containsKey(m.vm()))
                        .map(m -> toReported(nowMs, m.vm()))
                        .toList();
        return new RevisionsReply(reports);
    }

    private RevisionsReply.Reported toReported(long nowMs, VmId vm) {
        Report report = mReports.get(vm);
        long ageMs = Math.max(0, nowMs - report.reportedAtMs());
        return new RevisionsReply.Reported(vm, report.revision(), ageMs);
    }

    /** Removes the reports of incarnations that are no longer in the membership view. */
    void dropFormerIncarnations() {
        mReports.keySet()
                .removeIf(
                        vm ->
                                mState.mView
                                        .get()
                                        .member(vm.name())
                                        .filter(m -> m.vm().equals(vm))
                                        .isEmpty());
    }
}
