package org.hornbeampass.coordination.service;

import org.hornbeampass.state.FailureDomain;

/**
 * What the choice of an upstream by learnt models weighs.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param ownDomain the failure domain of this VM
 * @param crossDomainMs the cost of an upstream in another failure domain, in milliseconds
 */
public record RoutingSettings(FailureDomain ownDomain, double crossDomainMs) {
    /** Returns the cost of sending a request to an upstream for its failure domain alone. */
    double distanceMs(UpstreamInstance upstream) {
        return isNear(upstream) ? 0 : crossDomainMs;
    }

    /** Returns whether an upstream is in this VM's failure domain. */
    boolean isNear(UpstreamInstance upstream) {
        return upstream.entry().domain().equals(ownDomain);
    }
}
