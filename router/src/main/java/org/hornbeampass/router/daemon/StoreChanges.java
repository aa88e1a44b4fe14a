package org.hornbeampass.router.daemon;

import org.hornbeampass.coordination.platform.PlatformReply.Change;
import org.hornbeampass.coordination.platform.WatchedView;
import org.hornbeampass.coordination.service.EntryResult;
import org.hornbeampass.coordination.service.RouteTable;
import org.hornbeampass.router.relay.LogFields;
import org.hornbeampass.router.relay.RelayContext;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.service.FleetConfig;
import org.hornbeampass.state.service.UpstreamEntry;

/**
 * Puts in force what the operators and the upstreams write to the store.
 *
 * <p>Invariants: an object that is not understood changes nothing but what itself says, and is
 * logged with its reason; a configuration never goes back to an older version. Confined to one
 * event loop.
 */
final class StoreChanges {
    /** How long after an outage entries may be missing that will be back, in milliseconds. */
    private static final long AFTER_OUTAGE_MS = 2_500;

    private final RelayContext mParts;
    private final WatchedView mUpstreams;

    StoreChanges(RelayContext parts, WatchedView upstreams) {
        mParts = parts;
        mUpstreams = upstreams;
    }

    /** Returns the version of the configuration in force; 0 where none is known. */
    long configVersion() {
        return mParts.routes().map(r -> r.config().version()).orElse(0L);
    }

    /** Takes a change below the configuration's prefix. */
    void onConfig(long nowMs, Change change) {
        if (!change.key().equals(mParts.wire().configKey()) || change.value().isEmpty()) {
            return;
        }
        mParts.wire()
                .readConfig(change.value().get())
                .peekLeft(f -> notUnderstood(nowMs, "config-not-understood", change, f))
                .peek(config -> apply(nowMs, config, change.version()));
    }

    private void apply(long nowMs, FleetConfig config, long revision) {
        LogFields fields = new LogFields().add("version", config.version());
        if (config.version() < configVersion()) {
            mParts.log().logStateChange(nowMs, "config-too-old", fields);
            return;
        }
        mParts.setRoutes(new RouteTable(config));
        mParts.budgets().onOrganisations(config.organisations());
        mParts.budgets().tick(nowMs);
        mParts.log().logStateChange(nowMs, "config-in-force", fields.add("revision", revision));
    }

    /** Takes a change of an upstream's entry. */
    void onUpstream(long nowMs, Change change) {
        String id = change.key().substring(mParts.wire().upstreamPrefix().length());
        if (change.value().isEmpty()) {
            remove(nowMs, id);
            return;
        }
        var read = mParts.wire().readUpstream(change.key(), change.value().get());
        if (read.isLeft()) {
            mParts.upstreamRegistry().onUnreadableEntry(nowMs, id);
            notUnderstood(nowMs, "upstream-not-understood", change, read.getLeft());
            return;
        }
        list(nowMs, read.get(), change.version());
    }

    private void remove(long nowMs, String id) {
        boolean afterOutage = mUpstreams.failedWithin(nowMs, AFTER_OUTAGE_MS);
        mParts.upstreamRegistry().onRemoved(nowMs, id, afterOutage);
        mParts.log()
                .logStateChange(
                        nowMs,
                        "upstream-removed",
                        new LogFields().add("upstream", id).add("after_outage", afterOutage));
    }

    private void list(long nowMs, UpstreamEntry entry, long revision) {
        EntryResult verdict = mParts.upstreamRegistry().onEntry(nowMs, entry);
        if (verdict.replacesIncarnation()) {
            mParts.pool().closeIdle(entry.address());
        }
        mParts.log()
                .logStateChange(
                        nowMs,
                        verdict.isAccepted() ? "upstream-listed" : "upstream-entry-too-old",
                        new LogFields()
                                .add("upstream", entry.id())
                                .add("born_ms", entry.bornMs().orElse(-1))
                                .add("leaving", entry.leaving())
                                .add("service_known", serviceKnown(entry))
                                .add("verdict", verdict.name())
                                .add("revision", revision));
    }

    /** Returns whether any route may lead there; an entry of another service is never chosen. */
    private boolean serviceKnown(UpstreamEntry entry) {
        return mParts.routes()
                .map(r -> r.config().services().stream())
                .map(s -> s.anyMatch(each -> each.name().equals(entry.service())))
                .orElse(false);
    }

    private void notUnderstood(long nowMs, String decision, Change change, Failure failure) {
        mParts.log()
                .logStateChange(
                        nowMs,
                        decision,
                        new LogFields()
                                .add("key", change.key())
                                .add("revision", change.version())
                                .add("reason", failure.message()));
    }
}
