package org.hornbeampass.router.daemon;

import org.hornbeampass.coordination.platform.CatchUpMode;
import org.hornbeampass.coordination.platform.PlatformReply.Change;
import org.hornbeampass.coordination.platform.WatchedView;
import org.hornbeampass.coordination.service.EntryResult;
import org.hornbeampass.coordination.service.EvacuatedDomains;
import org.hornbeampass.coordination.service.RouteTable;
import org.hornbeampass.router.relay.LogFields;
import org.hornbeampass.router.relay.RelayContext;
import org.hornbeampass.router.relay.WireFormat;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.ViewKind;
import org.hornbeampass.state.service.FleetConfig;
import org.hornbeampass.state.service.UpstreamEntry;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Supplier;

/**
 * Applies the configuration, the upstreams' entries and the evacuations that are written to the
 * store.
 *
 * <p>Invariants: an object that can't be parsed affects only its own entry, and is logged with the
 * reason; the version of the configuration never decreases. Confined to one event loop.
 */
final class StoreChanges {
    /**
     * Time after an outage of the store in which entries may be missing only temporarily, in
     * milliseconds.
     */
    private static final long OUTAGE_RECOVERY_MS = 2_500;

    /** The most heartbeats of an upstream until a change of its state is in its entry. */
    private static final int MAX_HEARTBEATS_TO_NEXT_ENTRY = 2;

    private final RelayContext mContext;
    private final WatchedView mUpstreams;
    private final long mUpstreamHeartbeatMs;

    StoreChanges(RelayContext context, WatchedView upstreams, long upstreamHeartbeatMs) {
        mContext = context;
        mUpstreams = upstreams;
        mUpstreamHeartbeatMs = upstreamHeartbeatMs;
    }

    /** Returns the version of the current configuration; 0 if there is none. */
    long configVersion() {
        return mContext.routes().map(r -> r.config().version()).orElse(0L);
    }

    /** Applies a change of a key with the configuration's prefix. */
    void onConfig(long nowMs, Change change) {
        if (!change.key().equals(mContext.wire().configKey()) || change.value().isEmpty()) {
            return;
        }
        mContext.wire()
                .readConfig(change.value().get())
                .peekLeft(f -> logUnreadable(nowMs, "config-not-understood", change, f))
                .peek(config -> applyConfig(nowMs, config, change.version()));
    }

    private void applyConfig(long nowMs, FleetConfig config, long revision) {
        LogFields fields = new LogFields().add("version", config.version());
        if (config.version() < configVersion()) {
            mContext.log().logStateChange(nowMs, "config-too-old", fields);
            return;
        }
        mContext.setRoutes(new RouteTable(config));
        mContext.streamHistory().setRoutes(config.routes());
        mContext.upstreamRegistry().slowStarts().setServices(config.services());
        mContext.budgets().onOrganisations(config.organisations());
        mContext.budgets().tick(nowMs);
        mContext.log()
                .logStateChange(nowMs, "config-in-force", fields.addVersion("revision", revision));
    }

    /** Applies a change of an upstream's entry. */
    void onUpstream(long nowMs, Change change) {
        String id = change.key().substring(mContext.wire().upstreamPrefix().length());
        if (change.value().isEmpty()) {
            removeEntry(nowMs, id);
            return;
        }
        var read = mContext.wire().readUpstream(change.key(), change.value().get());
        if (read.isLeft()) {
            mContext.upstreamRegistry().onUnreadableEntry(nowMs, id);
            logUnreadable(nowMs, "upstream-not-understood", change, read.getLeft());
            return;
        }
        applyEntry(nowMs, read.get(), change.version());
    }

    private void removeEntry(long nowMs, String id) {
        boolean afterOutage = mUpstreams.failedWithin(nowMs, OUTAGE_RECOVERY_MS);
        mContext.upstreamRegistry().onRemoved(nowMs, id, afterOutage);
        mContext.log()
                .logStateChange(
                        nowMs,
                        "upstream-removed",
                        new LogFields().add("upstream", id).add("after_outage", afterOutage));
    }

    private void applyEntry(long nowMs, UpstreamEntry entry, long revision) {
        EntryResult verdict = mContext.upstreamRegistry().onEntry(nowMs, entry);
        if (verdict.replacesIncarnation()) {
            mContext.pool().closeIdle(entry.address());
        }
        mContext.log()
                .logStateChange(
                        nowMs,
                        verdict.isAccepted() ? "upstream-listed" : "upstream-entry-too-old",
                        new LogFields()
                                .add("upstream", entry.id())
                                .add("born_ms", entry.bornMs().orElse(-1))
                                .add("leaving", entry.leaving())
                                .add("cold_left_ms", entry.coldLeftMs())
                                .add("software_version", entry.softwareVersion())
                                .add("service_known", isServiceConfigured(entry))
                                .add("verdict", verdict.name())
                                .addVersion("revision", revision));
    }

    /**
     * Returns whether the configuration has the entry's service; upstreams of other services are
     * never chosen.
     */
    private boolean isServiceConfigured(UpstreamEntry entry) {
        return mContext.routes()
                .map(r -> r.config().services().stream())
                .map(s -> s.anyMatch(each -> each.name().equals(entry.service())))
                .orElse(false);
    }

    /**
     * Returns the views of the store whose changes are applied.
     *
     * @param wire the wire format of the installation
     * @param evacuations whether failure domains may be evacuated
     * @param changes supplies the object that applies the changes
     */
    static List<StoreViews.Source> sources(
            WireFormat wire, boolean evacuations, Supplier<StoreChanges> changes) {
        List<StoreViews.Source> sources = new ArrayList<>();
        sources.add(
                new StoreViews.Source(
                        ViewKind.CONFIGURATION,
                        wire.configPrefix(),
                        CatchUpMode.NEWEST_VERSION,
                        (nowMs, change) -> changes.get().onConfig(nowMs, change)));
        sources.add(
                new StoreViews.Source(
                        ViewKind.UPSTREAMS,
                        wire.upstreamPrefix(),
                        CatchUpMode.ALL_VERSIONS,
                        (nowMs, change) -> changes.get().onUpstream(nowMs, change)));
        if (evacuations) {
            sources.add(
                    new StoreViews.Source(
                            ViewKind.EVACUATIONS,
                            wire.evacuationPrefix(),
                            CatchUpMode.ALL_VERSIONS,
                            (nowMs, change) -> changes.get().onEvacuation(nowMs, change)));
        }
        return sources;
    }

    /** Applies the beginning or the end of an evacuation. */
    void onEvacuation(long nowMs, Change change) {
        FailureDomain domain = mContext.wire().readEvacuation(change.key());
        EvacuatedDomains evacuated = mContext.upstreamRegistry().evacuated();
        LogFields fields =
                new LogFields().add("domain", domain.value()).add("revision", change.version());
        if (change.value().isPresent()) {
            if (evacuated.begin(nowMs, domain)) {
                mContext.log().logStateChange(nowMs, "domain-evacuated", fields);
            }
            return;
        }
        OptionalLong lastedMs = evacuated.end(nowMs, domain);
        if (lastedMs.isPresent()) {
            mContext.upstreamRegistry()
                    .onEvacuationEnded(
                            nowMs, domain, MAX_HEARTBEATS_TO_NEXT_ENTRY * mUpstreamHeartbeatMs);
            mContext.log()
                    .logStateChange(
                            nowMs,
                            "domain-restored",
                            fields.add("lasted_ms", lastedMs.getAsLong()));
        }
    }

    private void logUnreadable(long nowMs, String decision, Change change, Failure failure) {
        mContext.log()
                .logStateChange(
                        nowMs,
                        decision,
                        new LogFields()
                                .add("key", change.key())
                                .add("revision", change.version())
                                .add("reason", failure.message()));
    }
}
