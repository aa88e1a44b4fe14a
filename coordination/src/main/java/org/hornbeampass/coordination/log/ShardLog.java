package org.hornbeampass.coordination.log;

import io.vavr.control.Either;

import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.coordination.platform.PlatformReply.StoredObject;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.Json;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * Append-only log of batches on the platform, with one object per batch.
 *
 * <p>Batch N is the object {@code <prefix>/<N, 12 digits>}, written by a conditional create. Of any
 * number of writers that append at N, exactly one wins, however outdated its view is; a writer that
 * was paused can lose but never overwrite. Batches below the floor ({@code <prefix>/~floor}) have
 * been truncated. A create below the floor could succeed again where a batch was deleted, so an
 * append has won only if the floor, read after the create, is not above it. The floor is raised
 * before anything is deleted, so this check detects every truncation before the create, and a pause
 * at any point is harmless.
 *
 * <p>Rules for callers: append at N only after batch N-1 was read, won or lost. If the result is a
 * {@link Failure}, the batch may still be stored at N, also later; append at N again, with the same
 * or another batch, until there is an {@link AppendResult}. A failure of kind {@code
 * REVISION_CONFLICT} means that the log was truncated above the requested sequence: start from a
 * snapshot. The log writes nothing by itself. Thread-safe: holds no state.
 */
public final class ShardLog {
    private static final String FLOOR_NAME = "~floor";

    private final Platform mPlatform;
    private final String mPrefix;

    /**
     * Opens a log, which need not exist yet.
     *
     * @param platform the platform that stores it
     * @param prefix the key prefix of its objects, without the last slash
     */
    public ShardLog(Platform platform, String prefix) {
        mPlatform = Objects.requireNonNull(platform, "platform");
        mPrefix = Objects.requireNonNull(prefix, "prefix");
    }

    /** Returns the key of the batch at a sequence. */
    public String key(long sequence) {
        return String.format(Locale.ROOT, "%s/%012d", mPrefix, sequence);
    }

    private String floorKey() {
        return mPrefix + "/" + FLOOR_NAME;
    }

    /**
     * Tries to store a batch at a sequence; takes one write and one read if nothing fails.
     *
     * @param nowMs the current time in milliseconds
     * @param sequence the position at which to store it
     * @param batch the batch; its own sequence is replaced by {@code sequence}
     * @param done receives the time in milliseconds and the result
     */
    public void tryAppend(
            long nowMs,
            long sequence,
            LogBatch batch,
            BiConsumer<Long, Either<Failure, AppendResult>> done) {
        LogBatch placed = batch.withSequence(sequence);
        String value = Json.encode(placed);
        int bytes = value.getBytes(StandardCharsets.UTF_8).length;
        if (bytes > PlatformCall.MAX_VALUE_BYTES) {
            done.accept(
                    nowMs,
                    Either.left(
                            Failure.of(
                                    ErrorKind.REQUEST_TOO_LARGE,
                                    "log batch of " + bytes + " bytes is too large; split it")));
            return;
        }
        mPlatform.submit(
                nowMs,
                new PlatformCall.Create(key(sequence), value),
                (atMs, reply) -> onCreateReply(atMs, placed, reply, done));
    }

    private void onCreateReply(
            long nowMs,
            LogBatch batch,
            PlatformReply reply,
            BiConsumer<Long, Either<Failure, AppendResult>> done) {
        if (reply instanceof PlatformReply.Written) {
            confirmWon(nowMs, batch, done);
        } else if (reply instanceof PlatformReply.Conflict conflict
                && conflict.current().isPresent()) {
            decide(nowMs, batch, conflict.current().get(), done);
        } else if (reply instanceof PlatformReply.Unavailable) {
            readBack(nowMs, batch, done);
        } else {
            done.accept(nowMs, Either.left(unexpectedReply(reply)));
        }
    }

    /** Reads the batch at the sequence after a create whose reply was lost. */
    private void readBack(
            long nowMs, LogBatch batch, BiConsumer<Long, Either<Failure, AppendResult>> done) {
        mPlatform.submit(
                nowMs,
                new PlatformCall.Get(key(batch.sequence())),
                (atMs, reply) -> {
                    if (reply instanceof PlatformReply.Found found) {
                        decide(atMs, batch, found.object(), done);
                    } else {
                        done.accept(atMs, Either.left(unexpectedReply(reply)));
                    }
                });
    }

    private void decide(
            long nowMs,
            LogBatch batch,
            StoredObject stored,
            BiConsumer<Long, Either<Failure, AppendResult>> done) {
        Either<Failure, LogBatch> decoded = Json.decode(stored.value(), LogBatch.class);
        if (decoded.isLeft()) {
            done.accept(nowMs, Either.left(decoded.getLeft()));
        } else if (decoded.get().matchesWrite(batch)) {
            confirmWon(nowMs, batch, done);
        } else {
            AppendResult lost = new AppendResult.Lost(decoded.get());
            checkFloor(nowMs, batch.sequence(), lost, done);
        }
    }

    private void confirmWon(
            long nowMs, LogBatch batch, BiConsumer<Long, Either<Failure, AppendResult>> done) {
        checkFloor(nowMs, batch.sequence(), new AppendResult.Won(), done);
    }

    /** Passes on a result if the sequence is not below the floor, and a failure otherwise. */
    private <T> void checkFloor(
            long nowMs, long sequence, T result, BiConsumer<Long, Either<Failure, T>> done) {
        mPlatform.submit(
                nowMs,
                new PlatformCall.Get(floorKey()),
                (atMs, reply) ->
                        done.accept(
                                atMs,
                                decodeFloor(reply)
                                        .flatMap(f -> checkAtOrAbove(f.sequence(), sequence))
                                        .map(s -> result)));
    }

    private static Either<Failure, LogFloor> decodeFloor(PlatformReply reply) {
        if (reply instanceof PlatformReply.Missing) {
            return Either.right(new LogFloor(0));
        }
        if (reply instanceof PlatformReply.Found found) {
            return Json.decode(found.object().value(), LogFloor.class);
        }
        return Either.left(unexpectedReply(reply));
    }

    private Either<Failure, Long> checkAtOrAbove(long floor, long sequence) {
        if (sequence >= floor) {
            return Either.right(sequence);
        }
        return Either.left(
                Failure.of(
                        ErrorKind.REVISION_CONFLICT,
                        mPrefix + " is truncated below " + floor + "; start from a snapshot"));
    }

    /**
     * Reads batches in order and without gaps; the list is empty if there is none at {@code
     * fromSequence} yet. Takes one read where the end of the log is reached.
     *
     * @param nowMs the current time in milliseconds
     * @param fromSequence the first sequence to read
     * @param limit the largest number of batches, at least 1
     * @param done receives the time in milliseconds and the batches
     */
    public void read(
            long nowMs,
            long fromSequence,
            int limit,
            BiConsumer<Long, Either<Failure, List<LogBatch>>> done) {
        String afterKey = fromSequence == 0 ? mPrefix + "/" : key(fromSequence - 1);
        mPlatform.submit(
                nowMs,
                new PlatformCall.ListObjects(mPrefix + "/", afterKey, limit + 1),
                (atMs, reply) -> onListReply(atMs, fromSequence, limit, reply, done));
    }

    private void onListReply(
            long nowMs,
            long fromSequence,
            int limit,
            PlatformReply reply,
            BiConsumer<Long, Either<Failure, List<LogBatch>>> done) {
        if (!(reply instanceof PlatformReply.Listed listed)) {
            done.accept(nowMs, Either.left(unexpectedReply(reply)));
            return;
        }
        Either<Failure, List<LogBatch>> batches = consecutive(listed, fromSequence, limit);
        if (batches.isLeft()) {
            done.accept(nowMs, batches);
            return;
        }
        Optional<StoredObject> floor =
                listed.objects().stream().filter(o -> o.key().equals(floorKey())).findFirst();
        if (floor.isPresent() || !listed.more()) {
            PlatformReply floorReply =
                    floor.<PlatformReply>map(PlatformReply.Found::new)
                            .orElseGet(PlatformReply.Missing::new);
            done.accept(
                    nowMs,
                    decodeFloor(floorReply)
                            .flatMap(f -> checkAtOrAbove(f.sequence(), fromSequence))
                            .flatMap(s -> batches));
            return;
        }
        checkFloor(nowMs, fromSequence, batches.get(), done);
    }

    private Either<Failure, List<LogBatch>> consecutive(
            PlatformReply.Listed listed, long fromSequence, int limit) {
        List<LogBatch> batches = new ArrayList<>();
        for (StoredObject object : listed.objects()) {
            boolean next = object.key().equals(key(fromSequence + batches.size()));
            if (!next || batches.size() == limit) {
                break;
            }
            Either<Failure, LogBatch> batch = Json.decode(object.value(), LogBatch.class);
            if (batch.isLeft()) {
                return Either.left(batch.getLeft());
            }
            batches.add(batch.get());
        }
        return Either.right(batches);
    }

    /**
     * Raises the floor, which invalidates all batches below it, and then deletes up to {@code
     * limit} of them. May be repeated until none is left.
     *
     * @param nowMs the current time in milliseconds
     * @param belowSequence the new floor; ignored if the stored floor is higher
     * @param limit the largest number of deletions, each one write
     * @param done receives the time in milliseconds and the number of batches found below the floor
     */
    public void truncate(
            long nowMs,
            long belowSequence,
            int limit,
            BiConsumer<Long, Either<Failure, Integer>> done) {
        new LogTruncation(mPlatform, mPrefix, floorKey(), key(belowSequence), limit)
                .start(nowMs, new LogFloor(belowSequence), done);
    }

    static Failure unexpectedReply(PlatformReply reply) {
        String reason =
                reply instanceof PlatformReply.Unavailable unavailable
                        ? unavailable.reason()
                        : reply.getClass().getSimpleName();
        return Failure.of(
                ErrorKind.PLATFORM_UNAVAILABLE, "the platform did not confirm the call: " + reason);
    }
}
