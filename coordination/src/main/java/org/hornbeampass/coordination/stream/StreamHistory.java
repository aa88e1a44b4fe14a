package org.hornbeampass.coordination.stream;

import org.hornbeampass.coordination.platform.EraGuard;
import org.hornbeampass.coordination.platform.EraListener;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.coordination.service.SoftwareVersions;
import org.hornbeampass.state.service.Route;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.LongPredicate;
import java.util.random.RandomGenerator;

/**
 * Finds where streams began by the records in the store, which outlive all VMs.
 *
 * <p>A record for each service names the software versions that may have streams; where it names
 * one, any stream of the service began there. While it names several, each VM records the origins
 * of its own streams. Invariant: an answer rests on a read that was started after the caller's
 * request arrived, so that neither an outdated list of upstreams nor a pause of this VM makes it
 * wrong. Confined to one thread.
 */
public final class StreamHistory implements EraListener {
    static final String VERSIONS_PREFIX = "stream-versions/";

    /** How many times a route's timeout a caller may wait for a stream, in all its attempts. */
    private static final long ATTEMPTS_TIMEOUTS = 2;

    /** The shortest time for which a version that is gone is kept, in milliseconds. */
    static final long MIN_KEEP_MS = 30_000;

    private final EraGuard mStore;
    private final SoftwareVersions mObserved;
    private final LongPredicate mObservationStale;
    private final BooleanSupplier mOwnsRecords;
    private final RandomGenerator mRandom;
    private final StreamRecordListener mListener;
    private final OriginArchive mArchive;
    private final Map<String, RecordedVersions> mVersions = new HashMap<>();
    private final Map<String, SharedRead<PlatformReply>> mReads = new HashMap<>();

    /**
     * Creates a history that knows no services yet.
     *
     * @param store the store
     * @param vm the name of this VM
     * @param vms returns the number of VMs
     * @param observed the versions that this VM has observed
     * @param observationStale returns whether this VM may lack upstreams at a time in milliseconds
     * @param ownsRecords returns whether this VM removes versions from the records
     * @param random spreads the calls of several VMs
     * @param listener notified of changes and failures
     */
    public StreamHistory(
            EraGuard store,
            String vm,
            IntSupplier vms,
            SoftwareVersions observed,
            LongPredicate observationStale,
            BooleanSupplier ownsRecords,
            RandomGenerator random,
            StreamRecordListener listener) {
        mStore = store;
        mObserved = observed;
        mObservationStale = observationStale;
        mOwnsRecords = ownsRecords;
        mRandom = random;
        mListener = listener;
        mArchive = new OriginArchive(store, vm, vms, listener);
    }

    /** Sets the routes, whose resumable streams are recorded. */
    public void setRoutes(List<Route> routes) {
        Map<String, Long> keepMs = new HashMap<>();
        for (Route route : routes) {
            if (route.resumable()) {
                long lastsMs = Math.max(MIN_KEEP_MS, ATTEMPTS_TIMEOUTS * route.timeoutMs());
                route.targets().forEach(t -> keepMs.merge(t.service(), lastsMs, Math::max));
            }
        }
        mVersions.keySet().retainAll(keepMs.keySet());
        mReads.keySet().retainAll(keepMs.keySet());
        keepMs.forEach((service, ms) -> versions(service).setKeepMs(ms));
    }

    private RecordedVersions versions(String service) {
        return mVersions.computeIfAbsent(
                service,
                s ->
                        new RecordedVersions(
                                s,
                                VERSIONS_PREFIX + s,
                                mStore,
                                mObserved,
                                mOwnsRecords,
                                mRandom,
                                mListener));
    }

    @Override
    public void onEra(long nowMs, long formerEra, long era) {
        mVersions.values().forEach(v -> v.onEra(nowMs));
    }

    /** Makes the calls that are due. */
    public void tick(long nowMs) {
        if (mObservationStale.test(nowMs)) {
            mObserved.onInterrupted(nowMs);
        }
        mVersions.values().forEach(v -> v.tick(nowMs));
        List.copyOf(mReads.values()).forEach(r -> r.tick(nowMs));
        mArchive.tick(nowMs, mVersions.values().stream().anyMatch(v -> v.mayHaveSeveral(nowMs)));
    }

    /** Returns whether upstreams of a version are preferred for new streams of a service. */
    public boolean mayBegin(long nowMs, String service, String version) {
        RecordedVersions versions = mVersions.get(service);
        return versions == null || versions.mayBegin(nowMs, version);
    }

    /** Returns whether no resumable stream of a service may begin at any version yet. */
    public boolean awaitsFirstRecord(long nowMs, String service) {
        RecordedVersions versions = mVersions.get(service);
        return versions != null && versions.awaitsFirstRecord(nowMs);
    }

    /** Adds a stream that begins here and may be resumed. */
    public void onBegun(long nowMs, StreamKey key, StreamOrigin origin) {
        RecordedVersions versions = mVersions.get(origin.service());
        if (versions != null && key.isStorable()) {
            mArchive.add(nowMs, key, origin, versions.keepMs());
        }
    }

    /**
     * Finds where a stream began.
     *
     * @param nowMs the present time in milliseconds
     * @param key the stream
     * @param services the services to which its route leads
     * @param done receives the time in milliseconds and the result; called once
     */
    public void find(
            long nowMs, StreamKey key, List<String> services, BiConsumer<Long, StoredOrigin> done) {
        if (!key.isStorable()) {
            done.accept(nowMs, StoredOrigin.unknown(StoredOrigin.Reason.NO_ATTEMPT));
            return;
        }
        RecordedVersions only = services.size() == 1 ? mVersions.get(services.get(0)) : null;
        if (only == null) {
            findArchived(nowMs, key, StoredOrigin.Reason.SEVERAL_SERVICES, done);
            return;
        }
        read(services.get(0))
                .read(
                        nowMs,
                        (t, reply) -> {
                            StoredOrigin found =
                                    reply.map(r -> only.onlyOrigin(t, r))
                                            .orElseGet(StreamHistory::unavailable);
                            if (found.reason().mayBeArchived()) {
                                findArchived(t, key, found.reason(), done);
                            } else {
                                done.accept(t, found);
                            }
                        });
    }

    private static StoredOrigin unavailable() {
        return StoredOrigin.unknown(StoredOrigin.Reason.STORE_UNAVAILABLE);
    }

    private void findArchived(
            long nowMs,
            StreamKey key,
            StoredOrigin.Reason otherwise,
            BiConsumer<Long, StoredOrigin> done) {
        mArchive.find(
                nowMs,
                key,
                (t, origin) ->
                        done.accept(
                                t,
                                origin.map(o -> StoredOrigin.known(o, FoundOrigin.Source.STORE))
                                        .orElseGet(() -> StoredOrigin.unknown(otherwise))));
    }

    private SharedRead<PlatformReply> read(String service) {
        PlatformCall call = new PlatformCall.Get(VERSIONS_PREFIX + service);
        return mReads.computeIfAbsent(
                service, s -> new SharedRead<>((t, done) -> mStore.submit(t, call, done)));
    }
}
