package org.hornbeampass.router.daemon;

import org.hornbeampass.coordination.membership.MembershipListener;
import org.hornbeampass.router.relay.LogFields;
import org.hornbeampass.router.relay.RelayLog;
import org.hornbeampass.state.member.Member;
import org.hornbeampass.state.member.MemberState;
import org.hornbeampass.state.member.MembershipView;

import java.util.Locale;
import java.util.Optional;

/**
 * Logs each change of another VM's membership state as this VM sees it.
 *
 * <p>Confined to one event loop.
 */
final class PeerLog implements MembershipListener {
    private final RelayLog mLog;
    private Optional<MembershipView> mPreviousView = Optional.empty();

    PeerLog(RelayLog log) {
        mLog = log;
    }

    @Override
    public void onChange(long nowMs, MembershipView view) {
        for (Member member : view.members()) {
            Optional<Member> before = mPreviousView.flatMap(v -> v.member(member.name()));
            boolean same =
                    before.isPresent()
                            && before.get().state() == member.state()
                            && before.get().vm().equals(member.vm());
            if (!same && !member.equals(view.self())) {
                log(nowMs, member, before.map(Member::state));
            }
        }
        mPreviousView = Optional.of(view);
    }

    private void log(long nowMs, Member member, Optional<MemberState> before) {
        mLog.logStateChange(
                nowMs,
                "peer-" + text(member.state()),
                new LogFields()
                        .add("peer", member.name())
                        .add("before", before.map(PeerLog::text).orElse("unknown")));
    }

    private static String text(MemberState state) {
        return state.name().toLowerCase(Locale.ROOT);
    }
}
