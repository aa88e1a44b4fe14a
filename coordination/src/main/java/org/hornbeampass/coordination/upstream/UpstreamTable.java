package org.hornbeampass.coordination.upstream;

import org.agrona.collections.Object2ObjectHashMap;
import org.hornbeampass.state.ModelId;
import org.hornbeampass.state.UpstreamId;
import org.hornbeampass.state.config.ConfigSnapshot;
import org.hornbeampass.state.config.UpstreamSpec;
import org.hornbeampass.state.upstream.CacheEvents;
import org.hornbeampass.state.upstream.LeavingEvidence;
import org.hornbeampass.state.upstream.ListedUpstream;
import org.hornbeampass.state.upstream.LoadReport;
import org.hornbeampass.state.upstream.UpstreamList;
import org.hornbeampass.state.upstream.WorkTarget;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Holds this VM's state of each upstream: settings, incarnation, load, cache and health.
 *
 * <p>Invariants: an upstream gets new work only while it is configured and its newest known
 * incarnation has not ended; an incarnation ends by the platform's list, the upstream's own report
 * or this VM's own evidence, each of which is enough, and never becomes live again; a list whose
 * version is not greater than the last one is ignored. Thread-safe: one lock, {@link #lock()},
 * guards the table and all objects reachable from it. It is a leaf in the lock order, and no
 * callbacks run while it is held.
 */
public final class UpstreamTable {
    private final Object mLock = new Object();
    private final Placement mPlacement;
    private final RoutingSettings mSettings;
    private final Object2ObjectHashMap<UpstreamId, UpstreamState> mStates =
            new Object2ObjectHashMap<>();
    private final Object2ObjectHashMap<ModelId, UpstreamGroup> mModels =
            new Object2ObjectHashMap<>();
    private final Object2ObjectHashMap<String, UpstreamGroup> mServices =
            new Object2ObjectHashMap<>();
    private long mRevision = -1;
    private long mListVersion = Long.MIN_VALUE;

    /**
     * Creates an empty table.
     *
     * @param placement this VM's name and location
     * @param settings its settings
     */
    public UpstreamTable(Placement placement, RoutingSettings settings) {
        mPlacement = placement;
        mSettings = settings;
    }

    /** Applies a configuration; one that is not newer than the last is ignored. */
    public void applyConfig(long nowMs, ConfigSnapshot config) {
        synchronized (mLock) {
            if (config.revision() <= mRevision) {
                return;
            }
            mRevision = config.revision();
            mStates.keySet().removeIf(id -> !config.upstreams().containsKey(id));
            for (UpstreamSpec spec : config.upstreams().values()) {
                configure(nowMs, spec);
            }
            rebuildGroups();
        }
    }

    /**
     * Applies a load report; a report of an earlier incarnation or of an unknown upstream is
     * ignored.
     */
    public void onLoadReport(long nowMs, UpstreamId id, LoadReport report) {
        synchronized (mLock) {
            UpstreamState state = mStates.get(id);
            if (state == null) {
                return;
            }
            Set<ModelId> before = modelsOf(state);
            boolean wasLive = state.isLive();
            if (onIncarnation(nowMs, state, report.incarnation())) {
                state.onReport(nowMs, report);
            }
            if (report.leaving()) {
                state.incarnations()
                        .onEnded(nowMs, report.incarnation(), LeavingEvidence.UPSTREAM_REPORT);
            }
            if (wasLive != state.isLive() || !before.equals(modelsOf(state))) {
                rebuildGroups();
            }
        }
    }

    /**
     * Applies cache events; events of an earlier incarnation or of an unknown upstream are ignored.
     */
    public void onCacheEvents(long nowMs, CacheEvents events) {
        synchronized (mLock) {
            UpstreamState state = mStates.get(events.upstream());
            if (state == null) {
                return;
            }
            boolean wasLive = state.isLive();
            if (onIncarnation(nowMs, state, events.incarnation())) {
                state.cachedPrefixes().apply(events);
            }
            if (wasLive != state.isLive()) {
                rebuildGroups();
            }
        }
    }

    /**
     * Ends an incarnation of an upstream and all earlier ones.
     *
     * @param incarnation the incarnation that ends; 0 where the upstream has no incarnations
     */
    public void onLeaving(long nowMs, UpstreamId id, LeavingEvidence evidence, long incarnation) {
        synchronized (mLock) {
            UpstreamState state = mStates.get(id);
            if (state != null && state.incarnations().onEnded(nowMs, incarnation, evidence)) {
                rebuildGroups();
            }
        }
    }

    /** Applies the platform's list; one that is not newer than the last is ignored. */
    public void onListed(long nowMs, UpstreamList list) {
        synchronized (mLock) {
            if (list.version() <= mListVersion) {
                return;
            }
            mListVersion = list.version();
            Set<UpstreamId> shown = new HashSet<>();
            for (ListedUpstream each : list.upstreams()) {
                shown.add(each.id());
                applyListed(nowMs, each);
            }
            for (UpstreamState state : mStates.values()) {
                if (!shown.contains(state.id())) {
                    state.incarnations().onNotListed(nowMs);
                }
            }
            rebuildGroups();
        }
    }

    /** Returns the status of each upstream as this VM sees it, ordered by name. */
    public List<UpstreamStatus> status(long nowMs) {
        synchronized (mLock) {
            return mStates.values().stream()
                    .map(s -> UpstreamStatus.of(nowMs, s))
                    .sorted(Comparator.comparing(UpstreamStatus::id))
                    .toList();
        }
    }

    /**
     * Returns the upstreams that this VM sends requests to. Load reports and cache events are
     * needed only from these.
     */
    public Set<UpstreamId> subset() {
        synchronized (mLock) {
            Set<UpstreamId> ids = new HashSet<>();
            mModels.values().forEach(g -> addIds(g, ids));
            mServices.values().forEach(g -> addIds(g, ids));
            return ids;
        }
    }

    /**
     * Returns the lock that guards the table, for callers that read several parts of its state
     * together.
     */
    public Object lock() {
        return mLock;
    }

    /**
     * Returns the upstreams for a target. The caller must hold {@link #lock()} while it uses them.
     */
    public Optional<UpstreamGroup> group(WorkTarget target) {
        if (target.service().isPresent()) {
            return Optional.ofNullable(mServices.get(target.service().get()));
        }
        return Optional.ofNullable(mModels.get(target.model().orElseThrow()));
    }

    private void configure(long nowMs, UpstreamSpec spec) {
        Distance distance = Distance.of(mPlacement, spec);
        UpstreamState state = mStates.get(spec.id());
        if (state == null) {
            mStates.put(spec.id(), new UpstreamState(nowMs, spec, distance, mSettings));
        } else {
            state.configure(spec, distance);
        }
    }

    private void applyListed(long nowMs, ListedUpstream each) {
        UpstreamState state = mStates.get(each.id());
        if (state == null) {
            return;
        }
        if (onIncarnation(nowMs, state, each.incarnation())) {
            state.incarnations().onListed(nowMs, each.incarnation());
        }
        if (each.leaving()) {
            state.incarnations().onEnded(nowMs, each.incarnation(), LeavingEvidence.PLATFORM_LIST);
        }
    }

    private static boolean onIncarnation(long nowMs, UpstreamState state, long incarnation) {
        long before = state.incarnation();
        if (!state.incarnations().onSeen(nowMs, incarnation)) {
            return false;
        }
        if (incarnation > before) {
            state.reset(nowMs);
        }
        return true;
    }

    private void rebuildGroups() {
        Map<ModelId, List<UpstreamState>> models = new HashMap<>();
        Map<String, List<UpstreamState>> services = new HashMap<>();
        for (UpstreamState state : mStates.values()) {
            if (state.isLive() && !state.spec().draining()) {
                state.spec().service().ifPresent(s -> add(services, s, state));
                modelsOf(state).forEach(m -> add(models, m, state));
            }
        }
        mModels.clear();
        models.forEach((model, all) -> mModels.put(model, subset(all)));
        mServices.clear();
        services.forEach((service, all) -> mServices.put(service, subset(all)));
    }

    private static Set<ModelId> modelsOf(UpstreamState state) {
        Set<ModelId> models = new HashSet<>();
        state.spec().model().ifPresent(models::add);
        state.report().ifPresent(r -> models.addAll(r.readyModels()));
        return models;
    }

    private static void addIds(UpstreamGroup group, Set<UpstreamId> ids) {
        for (int i = 0; i < group.size(); i++) {
            ids.add(group.member(i).id());
        }
    }

    private static <K> void add(Map<K, List<UpstreamState>> groups, K key, UpstreamState upstream) {
        groups.computeIfAbsent(key, k -> new ArrayList<>()).add(upstream);
    }

    private UpstreamGroup subset(List<UpstreamState> all) {
        return UpstreamGroup.of(mPlacement.vmName(), all, mSettings.subsetSize());
    }
}
