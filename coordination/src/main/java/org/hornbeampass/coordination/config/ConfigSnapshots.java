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
 * Reads and writes whole configurations on the platform, cut into parts below its largest value.
 *
 * <p>Invariants: the parts of a snapshot are written under the writer's own prefix before the
 * manifest names them, so a reader never sees half of one; the manifest's revision only grows; the
 * parts of the manifest before the last one stay, for readers that are under way. Thread-safe:
 * holds no state.
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

    /** A whole configuration with the hash of the history up to it. */
    record Loaded(ConfigSnapshot snapshot, String hash) {}

    /** Where the parts of one snapshot stand. */
    record Parts(long revision, String prefix, int count) {
        String key(int part) {
            return prefix + "/" + part;
        }
    }

    /** The newest snapshot, and the one before it, whose parts are still there. */
    record Manifest(Parts parts, String hash, Optional<Parts> previous) {}

    /** One part of a snapshot's JSON text. */
    record Part(String text) {}

    /** Loads the newest snapshot; empty where none was written yet. */
    void load(long nowMs, BiConsumer<Long, Either<Failure, Optional<Loaded>>> done) {
        mPlatform.submit(
                nowMs,
                new PlatformCall.Get(MANIFEST_KEY),
                (atMs, reply) -> {
                    if (reply instanceof PlatformReply.Missing) {
                        done.accept(atMs, Either.right(Optional.empty()));
                        return;
                    }
                    Either<Failure, Manifest> manifest = found(reply, Manifest.class);
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
            BiConsumer<Long, Either<Failure, Optional<Loaded>>> done) {
        if (texts.size() == manifest.parts().count()) {
            done.accept(nowMs, decode(String.join("", texts), manifest.hash()).map(Optional::of));
            return;
        }
        mPlatform.submit(
                nowMs,
                new PlatformCall.Get(manifest.parts().key(texts.size())),
                (atMs, reply) -> {
                    Either<Failure, Part> part = found(reply, Part.class);
                    if (part.isLeft()) {
                        done.accept(atMs, Either.left(part.getLeft()));
                        return;
                    }
                    texts.add(part.get().text());
                    loadPart(atMs, manifest, texts, done);
                });
    }

    static Either<Failure, Loaded> decode(String text, String hash) {
        return Json.decode(text, ConfigSnapshot.class).map(s -> new Loaded(s, hash));
    }

    private static <T> Either<Failure, T> found(PlatformReply reply, Class<T> type) {
        if (reply instanceof PlatformReply.Found found) {
            return Json.decode(found.object().value(), type);
        }
        return Either.left(
                Failure.of(
                        ErrorKind.PLATFORM_UNAVAILABLE,
                        "the platform gave no snapshot: " + reply.getClass().getSimpleName()));
    }

    /**
     * Writes a snapshot unless a newer one is there.
     *
     * @param nowMs the present time in milliseconds
     * @param loaded the configuration and its history's hash
     * @param done takes the manifest that stood before, where this one took its place
     */
    void write(long nowMs, Loaded loaded, BiConsumer<Long, Either<Failure, Manifest>> done) {
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
                    boolean stands =
                            reply instanceof PlatformReply.Written
                                    || (reply instanceof PlatformReply.Conflict conflict
                                            && conflict.current()
                                                    .filter(o -> o.value().equals(value))
                                                    .isPresent());
                    if (stands) {
                        writePart(atMs, texts, index + 1, parts, hash, done);
                    } else {
                        done.accept(atMs, Either.left(notWritten(reply)));
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
                        putManifest(atMs, create, first, done);
                        return;
                    }
                    Either<Failure, Manifest> stored = found(reply, Manifest.class);
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
        putManifest(
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

    private void putManifest(
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
                                        : Either.left(notWritten(reply))));
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

    private static Failure notWritten(PlatformReply reply) {
        return Failure.of(
                ErrorKind.PLATFORM_UNAVAILABLE,
                "the snapshot was not written: " + reply.getClass().getSimpleName());
    }
}
