package org.hornbeampass.coordination.log;

import io.vavr.control.Either;

import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.coordination.platform.PlatformReply.StoredObject;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.Json;

import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * One truncation of a log: raises the floor, then deletes the batches below it.
 *
 * <p>Invariant: no batch is deleted before a floor above it is known to be stored. Batches whose
 * deletion fails are left to the next truncation. Used for one truncation only; needs no lock,
 * since each step starts after the reply of the last one.
 */
final class LogTruncation {
    private final Platform mPlatform;
    private final String mPrefix;
    private final String mFloorKey;
    private final String mBelowKey;
    private final int mLimit;

    LogTruncation(Platform platform, String prefix, String floorKey, String belowKey, int limit) {
        mPlatform = platform;
        mPrefix = prefix;
        mFloorKey = floorKey;
        mBelowKey = belowKey;
        mLimit = limit;
    }

    void start(long nowMs, LogFloor wanted, BiConsumer<Long, Either<Failure, Integer>> done) {
        mPlatform.submit(
                nowMs,
                new PlatformCall.Get(mFloorKey),
                (atMs, reply) -> {
                    if (reply instanceof PlatformReply.Missing) {
                        raiseFloor(atMs, wanted, Optional.empty(), done);
                    } else if (reply instanceof PlatformReply.Found found) {
                        compareFloor(atMs, wanted, found.object(), done);
                    } else {
                        done.accept(atMs, Either.left(ShardLog.unexpectedReply(reply)));
                    }
                });
    }

    private void compareFloor(
            long nowMs,
            LogFloor wanted,
            StoredObject stored,
            BiConsumer<Long, Either<Failure, Integer>> done) {
        Either<Failure, LogFloor> floor = Json.decode(stored.value(), LogFloor.class);
        if (floor.isLeft()) {
            done.accept(nowMs, Either.left(floor.getLeft()));
        } else if (floor.get().sequence() >= wanted.sequence()) {
            listBatches(nowMs, done);
        } else {
            raiseFloor(nowMs, wanted, Optional.of(stored), done);
        }
    }

    private void raiseFloor(
            long nowMs,
            LogFloor wanted,
            Optional<StoredObject> stored,
            BiConsumer<Long, Either<Failure, Integer>> done) {
        String value = Json.encode(wanted);
        PlatformCall write =
                stored.<PlatformCall>map(
                                s -> new PlatformCall.Update(mFloorKey, value, s.version()))
                        .orElseGet(() -> new PlatformCall.Create(mFloorKey, value));
        mPlatform.submit(
                nowMs,
                write,
                (atMs, reply) -> {
                    if (reply instanceof PlatformReply.Written) {
                        listBatches(atMs, done);
                    } else {
                        done.accept(atMs, Either.left(ShardLog.unexpectedReply(reply)));
                    }
                });
    }

    private void listBatches(long nowMs, BiConsumer<Long, Either<Failure, Integer>> done) {
        mPlatform.submit(
                nowMs,
                new PlatformCall.ListObjects(mPrefix + "/", mPrefix + "/", mLimit),
                (atMs, reply) -> {
                    if (reply instanceof PlatformReply.Listed listed) {
                        deleteBelowFloor(atMs, listed.objects(), done);
                    } else {
                        done.accept(atMs, Either.left(ShardLog.unexpectedReply(reply)));
                    }
                });
    }

    private void deleteBelowFloor(
            long nowMs,
            List<StoredObject> objects,
            BiConsumer<Long, Either<Failure, Integer>> done) {
        List<StoredObject> below =
                objects.stream().filter(o -> o.key().compareTo(mBelowKey) < 0).toList();
        deleteFrom(nowMs, below, 0, done);
    }

    private void deleteFrom(
            long nowMs,
            List<StoredObject> below,
            int index,
            BiConsumer<Long, Either<Failure, Integer>> done) {
        if (index == below.size()) {
            done.accept(nowMs, Either.right(below.size()));
            return;
        }
        StoredObject object = below.get(index);
        mPlatform.submit(
                nowMs,
                new PlatformCall.Delete(object.key(), object.version()),
                (atMs, reply) -> deleteFrom(atMs, below, index + 1, done));
    }
}
