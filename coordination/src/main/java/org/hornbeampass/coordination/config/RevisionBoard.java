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
 * Knows which VM runs which revision: each VM reports to the collector of its failure domain, and
 * collectors are asked only while somebody wants to know.
 *
 * <p>Invariant: a VM's revision on the board never falls within one incarnation. Not thread-safe:
 * guarded by the lock of {@link ConfigStore}.
 */
final class RevisionBoard {
    private static final long WANTED_MS = 10_000;
    private static final long ASK_INTERVAL_MS = 1_000;

    private final ConfigCore mCore;
    private final ConfigRoles mRoles;
    private final Map<VmId, Report> mReports = new HashMap<>();
    private Optional<VmId> mReportedTo = Optional.empty();
    private long mReported = -1;
    private long mNextReportMs;
    private long mWantedUntilMs;
    private long mNextAskMs;

    /** A VM's newest report. */
    private record Report(long revision, long heardMs) {}

    RevisionBoard(ConfigCore core, ConfigRoles roles) {
        mCore = core;
        mRoles = roles;
    }

    void take(long heardMs, VmId from, long revision) {
        mReports.merge(
                from,
                new Report(revision, heardMs),
                (a, b) ->
                        new Report(
                                Math.max(a.revision(), b.revision()),
                                Math.max(a.heardMs(), b.heardMs())));
    }

    /** Returns what is known of each VM that is not gone, and keeps asking for a while. */
    List<VmRevision> inForce(long nowMs) {
        mWantedUntilMs = nowMs + WANTED_MS;
        take(nowMs, mCore.mSelf, mCore.mHistory.revision());
        return mCore.mView.get().members().stream()
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
                        OptionalLong.of(report.heardMs()));
    }

    void tick(long nowMs, Outbox out) {
        report(nowMs, out);
        if (nowMs < mWantedUntilMs && nowMs >= mNextAskMs) {
            mNextAskMs = nowMs + ASK_INTERVAL_MS;
            askCollectors(nowMs, out);
        }
    }

    private void report(long nowMs, Outbox out) {
        FailureDomain own = mCore.mView.get().self().domain();
        Optional<VmId> collector = mRoles.collector(own);
        long revision = mCore.mHistory.revision();
        boolean news = revision != mReported || !collector.equals(mReportedTo);
        if (collector.isEmpty() || (!news && nowMs < mNextReportMs)) {
            return;
        }
        long reportMs = mCore.mSettings.reportIntervalMs();
        mNextReportMs = nowMs + reportMs / 2 + mCore.mRandom.nextInt((int) reportMs);
        mReported = revision;
        mReportedTo = collector;
        VmId to = collector.get();
        if (to.equals(mCore.mSelf)) {
            take(nowMs, to, revision);
        } else {
            out.add(() -> mCore.mNetwork.send(to.name(), new RevisionReport(revision)));
        }
    }

    private void askCollectors(long nowMs, Outbox out) {
        mCore.mView.get().members().stream()
                .map(Member::domain)
                .distinct()
                .forEach(domain -> askCollector(nowMs, domain, out));
    }

    private void askCollector(long nowMs, FailureDomain domain, Outbox out) {
        Optional<VmId> collector = mRoles.collector(domain).filter(c -> !c.equals(mCore.mSelf));
        if (collector.isEmpty()) {
            return;
        }
        out.add(
                () ->
                        mCore.mNetwork.request(
                                nowMs,
                                collector.get().name(),
                                new RevisionsRequest(domain),
                                mCore.mSettings.pullTimeoutMs(),
                                (atMs, reply) ->
                                        mCore.mGuard.run(
                                                atMs,
                                                o -> {
                                                    if (reply.isRight()
                                                            && reply.get()
                                                                    instanceof RevisionsReply r) {
                                                        takeAll(atMs, r);
                                                    }
                                                })));
    }

    private void takeAll(long nowMs, RevisionsReply reply) {
        reply.reports().forEach(r -> take(nowMs - r.ageMs(), r.vm(), r.revision()));
    }

    /** Answers a peer from the reports of one failure domain's VMs that are not gone. */
    RevisionsReply answer(long nowMs, RevisionsRequest request) {
        take(nowMs, mCore.mSelf, mCore.mHistory.revision());
        List<RevisionsReply.Reported> reports =
                mCore.mView.get().inDomain(request.domain()).stream()
                        .filter(m -> m.state() != MemberState.GONE)
                        .filter(m -> mReports.containsKey(m.vm()))
                        .map(m -> reported(nowMs, m.vm()))
                        .toList();
        return new RevisionsReply(reports);
    }

    private RevisionsReply.Reported reported(long nowMs, VmId vm) {
        Report report = mReports.get(vm);
        long ageMs = Math.max(0, nowMs - report.heardMs());
        return new RevisionsReply.Reported(vm, report.revision(), ageMs);
    }

    /** Drops the reports of incarnations that are no longer in the view. */
    void forgetOld() {
        mReports.keySet()
                .removeIf(
                        vm ->
                                mCore.mView
                                        .get()
                                        .member(vm.name())
                                        .filter(m -> m.vm().equals(vm))
                                        .isEmpty());
    }
}
