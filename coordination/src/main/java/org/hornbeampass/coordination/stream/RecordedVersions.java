package org.hornbeampass.coordination.stream;

import org.hornbeampass.coordination.platform.EraGuard;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.coordination.platform.PlatformReply.StoredObject;
import org.hornbeampass.coordination.service.SoftwareVersions;
import org.hornbeampass.state.Json;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;

/**
 * Records in the store which software versions of one service may have streams that callers can
 * still resume, so that all VMs decide by the same versions, also after all have restarted.
 *
 * <p>Each VM ensures that the record names a version before it prefers the version's upstreams for
 * new streams. The record owner removes a version after it has been absent for longer than a caller
 * can resume a stream, which it measures by its own clock. Invariants: at most one call is in
 * progress, apart from reads for requests; a version is removed only after this VM has observed its
 * absence without interruption. Confined to one thread.
 */
final class RecordedVersions {
    /** How long upstreams of a version that is not recorded yet get no streams. */
    private static final long MAX_WAIT_MS = 1_000;

    /** How long a version counts as present after its last upstream was seen, in milliseconds. */
    private static final long PRESENT_MS = 1_000;

    /** How long other VMs leave the first write to the record owner, in milliseconds. */
    private static final long FOLLOW_DELAY_MS = 150;

    /** The largest random delay that other VMs add, in milliseconds. */
    private static final int FOLLOW_JITTER_MS = 250;

    private static final long RETRY_DELAY_MS = 500;

    /**
     * How long VMs may take to notice that the store was restored and to add their versions, in
     * milliseconds.
     */
    private static final long ERA_DELAY_MS = 5_000;

    private final String mService;
    private final String mKey;
    private final EraGuard mStore;
    private final SoftwareVersions mObserved;
    private final BooleanSupplier mOwnsRecords;
    private final RandomGenerator mRandom;
    private final StreamRecordListener mListener;
    private final Map<String, Long> mUnrecordedSinceMs = new HashMap<>();
    private final Set<String> mConfirmed = new HashSet<>();
    private Optional<VersionRecord> mRecord = Optional.empty();
    private long mRecordVersion;
    private long mKeepMs;
    private long mCallAtMs = Long.MIN_VALUE;
    private long mRetryAtMs = Long.MIN_VALUE;
    private long mEraSinceMs = Long.MIN_VALUE;
    private boolean mCallInProgress;
    private boolean mRecordedOnce;

    RecordedVersions(
            String service,
            String key,
            EraGuard store,
            SoftwareVersions observed,
            BooleanSupplier ownsRecords,
            RandomGenerator random,
            StreamRecordListener listener) {
        mService = service;
        mKey = key;
        mStore = store;
        mObserved = observed;
        mOwnsRecords = ownsRecords;
        mRandom = random;
        mListener = listener;
    }

    /** Sets how long a version must be absent until no stream of it can be resumed. */
    void setKeepMs(long keepMs) {
        mKeepMs = keepMs;
    }

    /** Handles that the store was restored, which may have lost versions. */
    void onEra(long nowMs) {
        mConfirmed.clear();
        mRecord = Optional.empty();
        mEraSinceMs = nowMs;
    }

    /** Returns whether new streams may begin at a version. */
    boolean mayBegin(long nowMs, String version) {
        if (mConfirmed.contains(version)) {
            return true;
        }
        Long sinceMs = mUnrecordedSinceMs.get(version);
        return sinceMs != null && nowMs - sinceMs >= MAX_WAIT_MS;
    }

    /**
     * Returns whether no stream may begin yet, since this VM knows no record: where the store has
     * none either, the first version would be forgotten with this VM.
     */
    boolean awaitsFirstRecord(long nowMs) {
        boolean waitedLong =
                mUnrecordedSinceMs.values().stream().anyMatch(t -> nowMs - t >= MAX_WAIT_MS);
        return !mRecordedOnce && !waitedLong;
    }

    /** Returns whether streams of several versions may be resumed, as far as this VM knows. */
    boolean mayHaveSeveral(long nowMs) {
        Set<String> all = new HashSet<>(mObserved.seenWithin(nowMs, mService, mKeepMs));
        mRecord.ifPresent(r -> all.addAll(r.versions()));
        return all.size() > 1;
    }

    /** Returns how long the streams of the service may be resumed, in milliseconds. */
    long keepMs() {
        return mKeepMs;
    }

    /** Makes the call that is due. */
    void tick(long nowMs) {
        if (mEraSinceMs == Long.MIN_VALUE) {
            mEraSinceMs = nowMs;
        }
        Set<String> present = mObserved.seenWithin(nowMs, mService, PRESENT_MS);
        Set<String> recent = mObserved.seenWithin(nowMs, mService, mKeepMs / 2);
        mConfirmed.retainAll(recent);
        mUnrecordedSinceMs.keySet().retainAll(present);
        for (String version : present) {
            if (!mConfirmed.contains(version)) {
                mUnrecordedSinceMs.putIfAbsent(version, nowMs);
            }
        }
        if (mCallInProgress || present.isEmpty() || nowMs < mRetryAtMs) {
            return;
        }
        if (mConfirmed.containsAll(present)) {
            mCallAtMs = Long.MIN_VALUE;
            maintain(nowMs);
            return;
        }
        if (mCallAtMs == Long.MIN_VALUE) {
            boolean first = !mRecordedOnce || mOwnsRecords.getAsBoolean();
            mCallAtMs = nowMs + (first ? 0 : FOLLOW_DELAY_MS + mRandom.nextInt(FOLLOW_JITTER_MS));
        }
        if (nowMs >= mCallAtMs) {
            submit(nowMs, new PlatformCall.Get(mKey), this::onRead);
        }
    }

    private void maintain(long nowMs) {
        if (mRecord.isEmpty() || !mOwnsRecords.getAsBoolean()) {
            return;
        }
        VersionRecord record = mRecord.get();
        VersionRecord next = record.without(ended(nowMs, record)).with(Set.of(), mKeepMs);
        if (nowMs - mEraSinceMs >= ERA_DELAY_MS) {
            next = next.inEra(mStore.era());
        }
        if (!next.equals(record)) {
            update(nowMs, next, mRecordVersion);
        }
    }

    private List<String> ended(long nowMs, VersionRecord record) {
        long keepMs = Math.max(mKeepMs, record.keepMs());
        if (mObserved.observedForMs(nowMs) < keepMs) {
            return List.of();
        }
        Set<String> recent = mObserved.seenWithin(nowMs, mService, keepMs);
        return record.versions().stream().filter(v -> !recent.contains(v)).toList();
    }

    private void submit(long nowMs, PlatformCall call, BiConsumer<Long, PlatformReply> onReply) {
        mCallInProgress = true;
        mStore.submit(
                nowMs,
                call,
                (t, reply) -> {
                    mCallInProgress = false;
                    onReply.accept(t, reply);
                });
    }

    private void update(long nowMs, VersionRecord next, long version) {
        submit(
                nowMs,
                new PlatformCall.Update(mKey, Json.encode(next), version),
                (t, reply) -> onWritten(t, next, reply));
    }

    private void onRead(long nowMs, PlatformReply reply) {
        if (reply instanceof PlatformReply.Found found) {
            onRecord(nowMs, found.object());
        } else if (reply instanceof PlatformReply.Missing) {
            VersionRecord first =
                    new VersionRecord(List.of(), mKeepMs, mStore.era())
                            .with(mObserved.seenWithin(nowMs, mService, mKeepMs), mKeepMs);
            submit(
                    nowMs,
                    new PlatformCall.Create(mKey, Json.encode(first)),
                    (t, written) -> onWritten(t, first, written));
        } else {
            onFailed(nowMs, reply.toString());
        }
    }

    private void onRecord(long nowMs, StoredObject object) {
        Optional<VersionRecord> read =
                Json.decode(object.value(), VersionRecord.class)
                        .peekLeft(f -> onFailed(nowMs, f.message()))
                        .toJavaOptional();
        if (read.isEmpty()) {
            return;
        }
        Set<String> recent = mObserved.seenWithin(nowMs, mService, mKeepMs);
        VersionRecord wanted = read.get().with(recent, mKeepMs);
        if (wanted.equals(read.get())) {
            onKnown(wanted, object.version());
        } else {
            update(nowMs, wanted, object.version());
        }
    }

    private void onWritten(long nowMs, VersionRecord written, PlatformReply reply) {
        if (reply instanceof PlatformReply.Written done) {
            onKnown(written, done.version());
            mListener.onVersionsRecorded(nowMs, mService, written.versions());
        } else if (reply instanceof PlatformReply.Conflict) {
            mConfirmed.clear();
            mRecord = Optional.empty();
            mCallAtMs = nowMs;
        } else {
            onFailed(nowMs, reply.toString());
        }
    }

    private void onKnown(VersionRecord record, long version) {
        mRecord = Optional.of(record);
        mRecordVersion = version;
        mConfirmed.addAll(record.versions());
        mRecordedOnce = true;
    }

    private void onFailed(long nowMs, String reason) {
        mRetryAtMs = nowMs + RETRY_DELAY_MS;
        mListener.onRecordFailed(nowMs, mKey, reason);
    }

    /**
     * Decides where a stream must have begun that a caller resumes, by a record that was read after
     * the caller's request arrived.
     */
    StoredOrigin onlyOrigin(long nowMs, PlatformReply reply) {
        if (reply instanceof PlatformReply.Missing) {
            return StoredOrigin.unknown(StoredOrigin.Reason.NO_VERSION_RECORD);
        }
        Optional<VersionRecord> read =
                reply instanceof PlatformReply.Found found
                        ? Json.decode(found.object().value(), VersionRecord.class).toJavaOptional()
                        : Optional.empty();
        if (read.isEmpty()) {
            return StoredOrigin.unknown(StoredOrigin.Reason.STORE_UNAVAILABLE);
        }
        if (read.get().era() != mStore.era()) {
            return StoredOrigin.unknown(StoredOrigin.Reason.STORE_RESTORED);
        }
        List<String> all =
                new ArrayList<>(
                        read.get()
                                .with(mObserved.seenWithin(nowMs, mService, mKeepMs), mKeepMs)
                                .versions());
        return all.size() == 1
                ? StoredOrigin.known(
                        new StreamOrigin(mService, all.get(0)), FoundOrigin.Source.ONLY_VERSION)
                : StoredOrigin.unknown(StoredOrigin.Reason.SEVERAL_VERSIONS);
    }
}
