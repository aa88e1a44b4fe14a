package org.hornbeampass.router.daemon;

import org.hornbeampass.coordination.escrow.GrantListener;
import org.hornbeampass.router.relay.RelayLog;

/**
 * Logs what this VM holds of the budgets.
 *
 * <p>Confined to one event loop.
 */
final class GrantLog implements GrantListener {
    private final RelayLog mLog;

    GrantLog(RelayLog log) {
        mLog = log;
    }

    @Override
    public void onGrant(long nowMs, String organisation, Change change) {
        mLog.believes(
                nowMs,
                change.after() >= change.before() ? "grant-taken" : "grant-returned",
                "\"organisation\":\""
                        + organisation
                        + "\",\"before\":"
                        + change.before()
                        + ",\"after\":"
                        + change.after()
                        + ",\"free\":"
                        + change.free()
                        + ",\"unallocated\":"
                        + change.unallocated()
                        + ",\"unspent\":"
                        + change.unspent());
    }

    @Override
    public void onLoan(long nowMs, String organisation, long tokens) {
        mLog.believes(
                nowMs,
                "tokens-borrowed",
                "\"organisation\":\"" + organisation + "\",\"tokens\":" + tokens);
    }
}
