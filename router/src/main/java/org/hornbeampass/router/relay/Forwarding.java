package org.hornbeampass.router.relay;

import org.hornbeampass.coordination.service.UpstreamReach;
import org.hornbeampass.state.member.Member;
import org.hornbeampass.transport.relay.UpstreamPool;

import java.util.Optional;
import java.util.Set;

/**
 * Decides whether requests are forwarded to other VMs, and to which.
 *
 * <p>Invariants: requests are forwarded only while this VM has lost its links to their service and
 * another VM has not; a request that was forwarded here is not forwarded again. Confined to one
 * event loop.
 */
public final class Forwarding {
    /** Chooses the VM to forward to. */
    @FunctionalInterface
    public interface Targets {
        /**
         * Returns a VM that reaches a service.
         *
         * @param service the service's name
         * @param tried the names of the VMs to which the request was forwarded before
         */
        Optional<Member> choose(String service, Set<String> tried);
    }

    private final UpstreamReach mReach;
    private final UpstreamPool mPool;
    private final Targets mTargets;

    /**
     * Creates the decision.
     *
     * @param reach whether this VM reaches the upstreams
     * @param pool the connections to other VMs
     * @param targets chooses the VM to forward to
     */
    public Forwarding(UpstreamReach reach, UpstreamPool pool, Targets targets) {
        mReach = reach;
        mPool = pool;
        mTargets = targets;
    }

    /** Returns whether a request for a service should be forwarded. */
    boolean isAdvised(CallerHead head, String service) {
        return mReach.isLost(service) && !head.forwarded() && target(service, Set.of()).isPresent();
    }

    /**
     * Returns a VM to forward to.
     *
     * @param service the name of the request's service
     * @param tried the names of the VMs to which the request was forwarded before
     */
    Optional<Member> target(String service, Set<String> tried) {
        return mTargets.choose(service, tried);
    }

    UpstreamReach reach() {
        return mReach;
    }

    /** Returns the connections to other VMs. */
    UpstreamPool pool() {
        return mPool;
    }
}
