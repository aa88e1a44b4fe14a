package org.hornbeampass.coordination.requests;

import io.vavr.control.Either;

import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.coordination.platform.PlatformReply.StoredObject;
import org.hornbeampass.state.Json;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * Writes a checkpoint: its parts, then the manifest; then deletes the parts that only the previous
 * manifest lists.
 *
 * <p>Invariants: the manifest is written conditionally on the version that was read before the
 * parts were written, so it never lists a part that another run has deleted; nothing is deleted
 * before the manifest is known to be written. A run stops at the first failed write; the next run
 * starts over. Two runs of the same checkpoint write equal parts, so a part that already exists
 * counts as written.
 *
 * <p>Each instance serves one run; each step starts when the previous one's reply has arrived, so
 * no lock is needed.
 */
final class CheckpointWriter {
    private static final long NOT_WRITTEN = 0;

    private final Platform mPlatform;
    private final CheckpointKeys mKeys;
    private final Checkpoint mCheckpoint;
    private final CheckpointManifest mManifest;
    private final BiConsumer<Long, Long> mDone;

    private Optional<CheckpointManifest> mStoredManifest = Optional.empty();
    private long mStoredVersion;

    /** A part still to be written. */
    private record Part(String key, String text) {}

    CheckpointWriter(
            Platform platform,
            CheckpointKeys keys,
            Checkpoint checkpoint,
            BiConsumer<Long, Long> done) {
        mPlatform = platform;
        mKeys = keys;
        mCheckpoint = checkpoint;
        mManifest = checkpoint.manifest();
        mDone = done;
    }

    /**
     * Starts writing. At the end, {@code done} is called with the time in milliseconds and the
     * sequence below which the log may be truncated, or 0 if the checkpoint was not written.
     */
    void start(long nowMs) {
        mPlatform.submit(
                nowMs,
                new PlatformCall.Get(mKeys.manifest()),
                (atMs, reply) -> {
                    if (reply instanceof PlatformReply.Missing) {
                        writeParts(atMs);
                    } else if (reply instanceof PlatformReply.Found found) {
                        replaceStored(atMs, found.object());
                    } else {
                        mDone.accept(atMs, NOT_WRITTEN);
                    }
                });
    }

    private void replaceStored(long nowMs, StoredObject stored) {
        Either<?, CheckpointManifest> before =
                Json.decode(stored.value(), CheckpointManifest.class);
        if (before.isLeft() || before.get().nextSequence() >= mManifest.nextSequence()) {
            mDone.accept(nowMs, NOT_WRITTEN);
            return;
        }
        mStoredManifest = Optional.of(before.get());
        mStoredVersion = stored.version();
        writeParts(nowMs);
    }

    private void writeParts(long nowMs) {
        List<Part> parts = new ArrayList<>();
        for (int i = 0; i < mCheckpoint.claims().size(); i++) {
            parts.add(
                    new Part(mKeys.claims(mManifest.openNumber(), i), mCheckpoint.claims().get(i)));
        }
        for (int i = 0; i < mCheckpoint.totals().size(); i++) {
            parts.add(
                    new Part(mKeys.totals(mManifest.openNumber(), i), mCheckpoint.totals().get(i)));
        }
        Iterator<RecentBills.Generation> missing =
                mCheckpoint.generations().stream().filter(g -> !isStored(g.number())).iterator();
        writeNext(nowMs, parts.iterator(), missing);
    }

    private boolean isStored(long number) {
        return mStoredManifest.flatMap(b -> b.generation(number)).isPresent();
    }

    /** Writes the next part; a generation is encoded only when it is about to be written. */
    private void writeNext(
            long nowMs, Iterator<Part> parts, Iterator<RecentBills.Generation> generations) {
        if (!parts.hasNext() && !generations.hasNext()) {
            writeManifest(nowMs);
            return;
        }
        if (!parts.hasNext()) {
            writeNext(nowMs, partsOf(generations.next()), generations);
            return;
        }
        Part part = parts.next();
        mPlatform.submit(
                nowMs,
                new PlatformCall.Create(part.key(), part.text()),
                (atMs, reply) -> {
                    boolean partExists =
                            reply instanceof PlatformReply.Written
                                    || reply instanceof PlatformReply.Conflict;
                    if (partExists) {
                        writeNext(atMs, parts, generations);
                    } else {
                        mDone.accept(atMs, NOT_WRITTEN);
                    }
                });
    }

    private Iterator<Part> partsOf(RecentBills.Generation generation) {
        List<String> texts = CheckpointParts.encodeGeneration(generation);
        List<Part> parts = new ArrayList<>();
        for (int i = 0; i < texts.size(); i++) {
            parts.add(new Part(mKeys.generation(generation.number(), i), texts.get(i)));
        }
        return parts.iterator();
    }

    private void writeManifest(long nowMs) {
        String value = Json.encode(mManifest);
        PlatformCall call =
                mStoredManifest.isEmpty()
                        ? new PlatformCall.Create(mKeys.manifest(), value)
                        : new PlatformCall.Update(mKeys.manifest(), value, mStoredVersion);
        mPlatform.submit(
                nowMs,
                call,
                (atMs, reply) -> {
                    if (reply instanceof PlatformReply.Written) {
                        deleteParts(atMs, obsoleteKeys().iterator());
                    } else {
                        mDone.accept(atMs, NOT_WRITTEN);
                    }
                });
    }

    private List<String> obsoleteKeys() {
        return mStoredManifest.map(b -> mKeys.obsoleteKeys(b, mManifest)).orElse(List.of());
    }

    private void deleteParts(long nowMs, Iterator<String> keys) {
        if (!keys.hasNext()) {
            mDone.accept(nowMs, mManifest.nextSequence());
            return;
        }
        String key = keys.next();
        mPlatform.submit(
                nowMs,
                new PlatformCall.Get(key),
                (atMs, reply) -> {
                    if (reply instanceof PlatformReply.Found found) {
                        delete(atMs, found.object(), keys);
                    } else {
                        deleteParts(atMs, keys);
                    }
                });
    }

    private void delete(long nowMs, StoredObject part, Iterator<String> keys) {
        mPlatform.submit(
                nowMs,
                new PlatformCall.Delete(part.key(), part.version()),
                (atMs, reply) -> deleteParts(atMs, keys));
    }
}
