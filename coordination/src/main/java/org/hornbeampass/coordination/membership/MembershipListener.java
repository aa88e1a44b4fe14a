package org.hornbeampass.coordination.membership;

import org.hornbeampass.state.VmId;
import org.hornbeampass.state.member.MembershipView;

/**
 * Hears of changes in the membership.
 *
 * <p>Called with no lock of the membership held, on the thread that found the change; two calls may
 * overlap, so a listener that needs the newest view reads {@link Membership#view()}.
 */
public interface MembershipListener {
    /**
     * A member came, changed its state or was forgotten.
     *
     * @param nowMs the present time in milliseconds
     * @param view the view after the change
     */
    default void onChange(long nowMs, MembershipView view) {}

    /**
     * An incarnation can't be running any more, so that what it held may be written off.
     *
     * @param nowMs the present time in milliseconds
     * @param vm the incarnation
     */
    default void onProvedGone(long nowMs, VmId vm) {}

    /**
     * A peer runs a newer configuration than any that was heard of from it before.
     *
     * @param nowMs the present time in milliseconds
     * @param from the peer
     * @param revision its configuration's revision
     */
    default void onPeerRevision(long nowMs, VmId from, long revision) {}

    /**
     * A peer knows of a newer change of an upstream than any that was heard of from it before.
     *
     * @param nowMs the present time in milliseconds
     * @param from the peer
     * @param revision the change's revision
     */
    default void onPeerUpstreamsRevision(long nowMs, VmId from, long revision) {}
}
