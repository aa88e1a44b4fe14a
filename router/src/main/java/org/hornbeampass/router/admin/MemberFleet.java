package org.hornbeampass.router.admin;

import io.vavr.control.Either;

import org.hornbeampass.coordination.config.ConfigStore;
import org.hornbeampass.coordination.config.VmRevision;
import org.hornbeampass.coordination.membership.Membership;
import org.hornbeampass.protocol.admin.Drained;
import org.hornbeampass.protocol.admin.RevisionView;
import org.hornbeampass.protocol.admin.RouterList;
import org.hornbeampass.protocol.admin.RouterView;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.member.Member;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Reports the routers as known to this router's membership and configuration store.
 *
 * <p>Thread-safe: holds no state of its own.
 */
public final class MemberFleet implements FleetPort {
    private final Membership mMembership;
    private final ConfigStore mStore;
    private final RouterDrainer mDrains;

    /** Creates the fleet from the sources of its data and the means to drain routers. */
    public MemberFleet(Membership membership, ConfigStore store, RouterDrainer drains) {
        mMembership = membership;
        mStore = store;
        mDrains = drains;
    }

    @Override
    public RouterList routers(long nowMs) {
        Map<VmId, Long> revisions = new HashMap<>();
        mStore.vmRevisions(nowMs)
                .forEach(r -> revisions.put(r.member().vm(), r.revision().orElse(0)));
        return new RouterList(
                mMembership.view().self().vm(),
                mMembership.view().members().stream()
                        .map(m -> view(m, revisions.getOrDefault(m.vm(), 0L)))
                        .toList());
    }

    @Override
    public RevisionView revision(long nowMs) {
        List<RevisionView.RouterRevision> routers =
                mStore.vmRevisions(nowMs).stream().map(MemberFleet::revisionOf).toList();
        long newest = Math.max(mStore.newestKnownRevision(), mStore.snapshot().revision());
        long everywhere =
                routers.stream()
                        .mapToLong(RevisionView.RouterRevision::revision)
                        .min()
                        .orElse(newest);
        return new RevisionView(mMembership.view().self().vm(), newest, everywhere, routers);
    }

    @Override
    public void drainRouter(
            long nowMs,
            String vmName,
            String operator,
            BiConsumer<Long, Either<Failure, Drained>> done) {
        mDrains.drain(nowMs, vmName, operator, done);
    }

    private static RevisionView.RouterRevision revisionOf(VmRevision vmRevision) {
        return new RevisionView.RouterRevision(
                vmRevision.member().vm(), vmRevision.revision().orElse(0));
    }

    private static RouterView view(Member m, long revision) {
        return new RouterView(
                m.vm(), m.state().name(), m.httpAddress(), m.domain(), m.region(), revision);
    }
}
