package org.hornbeampass.coordination.membership;

import org.hornbeampass.state.ViewKind;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.member.MembershipView;

/**
 * Receives changes of the membership.
 *
 * <p>Called without the membership's lock, on the thread that found the change. Calls may overlap,
 * so a listener that needs the newest view reads {@link Membership#view()}.
 */
public interface MembershipListener {
    /**
     * Called after a member was added, changed its state or was removed.
     *
     * @param nowMs the current time in milliseconds
     * @param view the view after the change
     */
    default void onChange(long nowMs, MembershipView view) {}

    /**
     * Called when an incarnation is proved to have stopped, so that what it held may be written
     * off.
     *
     * @param nowMs the current time in milliseconds
     * @param vm the incarnation
     */
    default void onProvedGone(long nowMs, VmId vm) {}

    /**
     * Called when a peer announces a newer revision of a view than before, if it is also newer than
     * this VM's own.
     *
     * @param nowMs the current time in milliseconds
     * @param from the peer
     * @param view the view
     * @param revision the revision of the peer's view
     */
    default void onPeerRevision(long nowMs, VmId from, ViewKind view, long revision) {}
}
