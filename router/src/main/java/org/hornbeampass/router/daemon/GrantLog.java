package org.hornbeampass.router.daemon;

import org.hornbeampass.coordination.escrow.GrantListener;
import org.hornbeampass.router.relay.LogFields;
import org.hornbeampass.router.relay.RelayLog;

/**
 * Logs each change of the tokens that this VM holds of a budget.
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
        mLog.logStateChange(
                nowMs,
                change.after() >= change.before() ? "grant-taken" : "grant-returned",
                new LogFields()
                        .add("organisation", organisation)
                        .add("before", change.before())
                        .add("after", change.after())
                        .add("free", change.free())
                        .add("unallocated", change.unallocated())
                        .add("unspent", change.unspent()));
    }

    @Override
    public void onLoan(long nowMs, String organisation, long tokens) {
        mLog.logStateChange(
                nowMs,
                "tokens-borrowed",
                new LogFields().add("organisation", organisation).add("tokens", tokens));
    }

    @Override
    public void onGrantsSuspended(long nowMs, int pool, long formerEra, long era) {
        mLog.logStateChange(
                nowMs,
                "grants-suspended",
                new LogFields().add("pool", pool).add("former_era", formerEra).add("era", era));
    }

    @Override
    public void onGrantsWrittenAgain(long nowMs, int pool, long era) {
        mLog.logStateChange(
                nowMs, "grants-written-again", new LogFields().add("pool", pool).add("era", era));
    }

    @Override
    public void onTokensWrittenOff(long nowMs, String organisation, long tokens, long era) {
        mLog.logStateChange(
                nowMs,
                "tokens-written-off",
                new LogFields()
                        .add("organisation", organisation)
                        .add("tokens", tokens)
                        .add("era", era));
    }

    @Override
    public void onUnsuccessfulSearch(long nowMs, String organisation, Search search) {
        mLog.logStateChange(
                nowMs,
                "loan-search-unsuccessful",
                new LogFields()
                        .add("organisation", organisation)
                        .add("took_ms", search.tookMs())
                        .add("asked_vms", search.askedVms())
                        .add("unresponsive_vms", search.unresponsiveVms())
                        .add("missing", search.missing()));
    }
}
