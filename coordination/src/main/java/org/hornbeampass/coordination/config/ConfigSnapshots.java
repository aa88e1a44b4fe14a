package org.hornbeampass.coordination.config;

import io.vavr.control.Either;

import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.coordination.platform.PlatformReply.StoredObject;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.Json;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.config.ConfigSnapshot;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * Reads and writes configuration snapshots on the platform, split into parts that fit the
 * platform's maximum value size.
 *
 * <p>Invariants: the parts of a snapshot are written under a prefix of the writer before the
 * manifest refers to them, so a reader never sees an incomplete snapshot; the manifest's revision
 * only increases; the parts of the previous snapshot are kept for readers that have read the
 * previous manifest. Stateless and thread-safe.
 */
final class ConfigSnapshots {
    static final String MANIFEST_KEY = "config/snapshot/latest";
    private static final int PART_CHARS = 250_000;

    private final Platform mPlatform;
    private final VmId mSelf;

    ConfigSnapshots(Platform platform, VmId self) {
        mPlatform = platform;
        mSelf = self;
    }

    /** A configuration with the hash of the history up to its revision. */
    record HashedSnapshot(ConfigSnapshot snapshot, String hash) {}

    /** The location of the parts of one snapshot. */
    record Parts(long revision, String prefix, int count) {
        String key(int part) {
            return prefix + "/" + part;
        }
    }

    /** The newest snapshot and the previous one, whose parts are still stored. */
    record Manifest(Parts parts, String hash, Optional<Parts> previous) {}

    /** One part of a snapshot's JSON text. */
    record Part(String text) {}

    /** Loads the newest snapshot; empty if none has been written yet. */
    void load(long nowMs, BiConsumer<Long, Either<Failure, Optional<HashedSnapshot>>> done) {
        mPlatform.submit(
                nowMs,
                new PlatformCall.Get(MANIFEST_KEY),
                (atMs, reply) -> {
                    if (reply instanceof PlatformReply.Missing) {
                        done.accept(atMs, Either.right(Optional.empty()));
                        return;
                    }
                    Either<Failure, Manifest> manifest = decodeFound(reply, Manifest.class);
                    if (manifest.isLeft()) {
                        done.accept(atMs, Either.left(manifest.getLeft()));
                        return;
                    }
                    loadPart(atMs, manifest.get(), new ArrayList<>(), done);
                });
    }

    private void loadPart(
            long nowMs,
            Manifest manifest,
            List<String> texts,
            BiConsumer<Long, Either<Failure, Optional<HashedSnapshot>>> done) {
        if (texts.size() == manifest.parts().count()) {
            done.accept(nowMs, decode(String.join("", texts), manifest.hash()).map(Optional::of));
            return;
        }
        mPlatform.submit(
                nowMs,
                new PlatformCall.Get(manifest.parts().key(texts.size())),
                (atMs, reply) -> {
                    Either<Failure, Part> part = decodeFound(reply, Part.class);
                    if (part.isLeft()) {
                        done.accept(atMs, Either.left(part.getLeft()));
                        return;
                    }
                    texts.add(part.get().text());
                    loadPart(atMs, manifest, texts, done);
                });
    }

    static Either<Failure, HashedSnapshot> decode(String text, String hash) {
        return Json.decode(text, ConfigSnapshot.class).map(s -> new HashedSnapshot(s, hash));
    }

    private static <T> Either<Failure, T> decodeFound(PlatformReply reply, Class<T> type) {
        if (reply instanceof PlatformReply.Found found) {
            return Json.decode(found.object().value(), type);
        }
        return Either.left(
                Failure.of(
                        ErrorKind.PLATFORM_UNAVAILABLE,
                        "could not read a snapshot from the platform: "
                                + reply.getClass().getSimpleName()));
    }

    /**
     * Writes a snapshot unless a newer one is stored.
     *
     * @param nowMs the present time in milliseconds
     * @param loaded the configuration and the hash of its history
     * @param done receives the time in milliseconds and the manifest that is now stored: the new
     *     one, or the stored one if it is at least as new
     */
    void write(
            long nowMs, HashedSnapshot loaded, BiConsumer<Long, Either<Failure, Manifest>> done) {
        long revision = loaded.snapshot().revision();
        List<String> texts = split(Json.encode(loaded.snapshot()));
        String prefix = String.format(Locale.ROOT, "config/snapshot/%012d-%s", revision, mSelf);
        Parts parts = new Parts(revision, prefix, texts.size());
        writePart(nowMs, texts, 0, parts, loaded.hash(), done);
    }

    static List<String> split(String text) {
        List<String> texts = new ArrayList<>();
        int start = 0;
        while (start < text.length()) {
            int end = Math.min(text.length(), start + PART_CHARS);
            if (end < text.length() && Character.isHighSurrogate(text.charAt(end - 1))) {
                end--;
            }
            texts.add(text.substring(start, end));
            start = end;
        }
        return texts;
    }

    private void writePart(
            long nowMs,
            List<String> texts,
            int index,
            Parts parts,
            String hash,
            BiConsumer<Long, Either<Failure, Manifest>> done) {
        if (index == texts.size()) {
            readManifest(nowMs, parts, hash, done);
            return;
        }
        String value = Json.encode(new Part(texts.get(index)));
        mPlatform.submit(
                nowMs,
                new PlatformCall.Create(parts.key(index), value),
                (atMs, reply) -> {
                    boolean isStored =
                            reply instanceof PlatformReply.Written
                                    || (reply instanceof PlatformReply.Conflict conflict
                                            && conflict.current()
                                                    .filter(o -> o.value().equals(value))
                                                    .isPresent());
                    if (isStored) {
                        writePart(atMs, texts, index + 1, parts, hash, done);
                    } else {
                        done.accept(atMs, Either.left(writeFailure(reply)));
                    }
                });
    }

    private void readManifest(
            long nowMs,
            Parts parts,
            String hash,
            BiConsumer<Long, Either<Failure, Manifest>> done) {
        mPlatform.submit(
                nowMs,
                new PlatformCall.Get(MANIFEST_KEY),
                (atMs, reply) -> {
                    if (reply instanceof PlatformReply.Missing) {
                        Manifest first = new Manifest(parts, hash, Optional.empty());
                        PlatformCall create =
                                new PlatformCall.Create(MANIFEST_KEY, Json.encode(first));
                        writeManifest(atMs, create, first, done);
                        return;
                    }
                    Either<Failure, Manifest> stored = decodeFound(reply, Manifest.class);
                    if (stored.isLeft()) {
                        done.accept(atMs, Either.left(stored.getLeft()));
                        return;
                    }
                    StoredObject object = ((PlatformReply.Found) reply).object();
                    replaceManifest(atMs, parts, hash, object, stored.get(), done);
                });
    }

    private void replaceManifest(
            long nowMs,
            Parts parts,
            String hash,
            StoredObject object,
            Manifest stored,
            BiConsumer<Long, Either<Failure, Manifest>> done) {
        if (stored.parts().revision() >= parts.revision()) {
            done.accept(nowMs, Either.right(stored));
            return;
        }
        Manifest next = new Manifest(parts, hash, Optional.of(stored.parts()));
        PlatformCall update =
                new PlatformCall.Update(MANIFEST_KEY, Json.encode(next), object.version());
        writeManifest(
                nowMs,
                update,
                next,
                (atMs, put) -> {
                    if (put.isRight()) {
                        stored.previous().ifPresent(old -> deleteParts(atMs, old, 0));
                    }
                    done.accept(atMs, put);
                });
    }

    private void writeManifest(
            long nowMs,
            PlatformCall call,
            Manifest manifest,
            BiConsumer<Long, Either<Failure, Manifest>> done) {
        mPlatform.submit(
                nowMs,
                call,
                (atMs, reply) ->
                        done.accept(
                                atMs,
                                reply instanceof PlatformReply.Written
                                        ? Either.right(manifest)
                                        : Either.left(writeFailure(reply))));
    }

    private void deleteParts(long nowMs, Parts parts, int index) {
        if (index == parts.count()) {
            return;
        }
        mPlatform.submit(
                nowMs,
                new PlatformCall.Get(parts.key(index)),
                (atMs, reply) -> {
                    if (reply instanceof PlatformReply.Found found) {
                        mPlatform.submit(
                                atMs,
                                new PlatformCall.Delete(parts.key(index), found.object().version()),
                                (laterMs, deleted) -> deleteParts(laterMs, parts, index + 1));
                    }
                });
    }

    private static Failure writeFailure(PlatformReply reply) {
        return Failure.of(
                ErrorKind.PLATFORM_UNAVAILABLE,
                "the snapshot was not written: " + reply.getClass().getSimpleName());
    }
}
