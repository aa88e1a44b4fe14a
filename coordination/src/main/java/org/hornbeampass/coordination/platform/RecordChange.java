package org.hornbeampass.coordination.platform;

import com.fasterxml.jackson.databind.JsonNode;

import io.vavr.control.Either;

import org.hornbeampass.coordination.platform.PlatformReply.StoredObject;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.Json;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Function;

/**
 * One change of one record on its way through reads, writes and retries.
 *
 * <p>Invariant: at most one write is open, so once a record of another version was read without
 * this change's mark, no earlier write of it can take effect any more. Not thread-safe: each step
 * follows the reply of the last one or the writer's tick.
 */
final class RecordChange<T> {
    private final ConditionalWriter mOwner;
    private final Platform mPlatform;
    private final String mKey;
    private final Class<T> mType;
    private final StoredValue.Mark mMark;
    private final Function<Optional<T>, Either<Failure, T>> mChange;
    private final BiConsumer<Long, Either<Failure, T>> mDone;

    private int mAttempts;
    private boolean mOpen;
    private long mOpenVersion;
    private Optional<T> mWritten = Optional.empty();

    RecordChange(
            ConditionalWriter owner,
            Platform platform,
            String key,
            Class<T> type,
            StoredValue.Mark mark,
            Function<Optional<T>, Either<Failure, T>> change,
            BiConsumer<Long, Either<Failure, T>> done) {
        mOwner = owner;
        mPlatform = platform;
        mKey = key;
        mType = type;
        mMark = mark;
        mChange = change;
        mDone = done;
    }

    /** Reads the record and goes on from what it finds. */
    void attempt(long nowMs) {
        mAttempts++;
        mPlatform.submit(
                nowMs,
                new PlatformCall.Get(mKey),
                (atMs, reply) -> {
                    if (reply instanceof PlatformReply.Missing) {
                        found(atMs, Optional.empty());
                    } else if (reply instanceof PlatformReply.Found found) {
                        found(atMs, Optional.of(found.object()));
                    } else {
                        retry(atMs, ErrorKind.PLATFORM_UNAVAILABLE);
                    }
                });
    }

    private void found(long nowMs, Optional<StoredObject> object) {
        long version = object.map(StoredObject::version).orElse(0L);
        if (object.isEmpty() && mOpen && mOpenVersion != 0) {
            finish(nowMs, Either.left(forgotten()));
            return;
        }
        if (object.isEmpty()) {
            propose(nowMs, version, Optional.empty(), List.of());
            return;
        }
        Either<Failure, StoredValue> decoded = Json.decode(object.get().value(), StoredValue.class);
        if (decoded.isLeft()) {
            finish(nowMs, Either.left(decoded.getLeft()));
            return;
        }
        StoredValue stored = decoded.get();
        if (mOpen && version != mOpenVersion && !resolveOpenWrite(nowMs, stored)) {
            return;
        }
        Either<Failure, T> body = Json.decode(stored.body().toString(), mType);
        if (body.isLeft()) {
            finish(nowMs, Either.left(body.getLeft()));
            return;
        }
        propose(nowMs, version, Optional.of(body.get()), stored.marks());
    }

    /** Finds whether the open write took effect; returns whether the change is still to be made. */
    private boolean resolveOpenWrite(long nowMs, StoredValue stored) {
        StoredValue.Presence presence = stored.presence(mMark);
        if (presence == StoredValue.Presence.NOT_APPLIED) {
            mOpen = false;
            return true;
        }
        if (presence == StoredValue.Presence.APPLIED) {
            finish(nowMs, Either.right(mWritten.orElseThrow()));
        } else {
            finish(nowMs, Either.left(forgotten()));
        }
        return false;
    }

    private Failure forgotten() {
        return Failure.of(
                ErrorKind.OUTCOME_UNKNOWN, mKey + " was changed by too many others since");
    }

    private void propose(
            long nowMs, long version, Optional<T> current, List<StoredValue.Mark> marks) {
        Either<Failure, T> wanted = mChange.apply(current);
        if (wanted.isLeft() || wanted.get().equals(current.orElse(null))) {
            if (mOpen) {
                retry(nowMs, ErrorKind.OUTCOME_UNKNOWN);
            } else {
                finish(nowMs, wanted);
            }
            return;
        }
        mWritten = Optional.of(wanted.get());
        JsonNode body = Json.decode(Json.encode(wanted.get()), JsonNode.class).get();
        String value = Json.encode(StoredValue.after(marks, body, mMark));
        int bytes = value.getBytes(StandardCharsets.UTF_8).length;
        if (bytes > PlatformCall.MAX_VALUE_BYTES) {
            String message = mKey + " would take " + bytes + " bytes; the platform holds less";
            finish(nowMs, Either.left(Failure.of(ErrorKind.REQUEST_TOO_LARGE, message)));
            return;
        }
        write(nowMs, version, value);
    }

    private void write(long nowMs, long version, String value) {
        PlatformCall call =
                version == 0
                        ? new PlatformCall.Create(mKey, value)
                        : new PlatformCall.Update(mKey, value, version);
        mPlatform.submit(nowMs, call, (atMs, reply) -> written(atMs, version, reply));
    }

    private void written(long nowMs, long version, PlatformReply reply) {
        if (reply instanceof PlatformReply.Written) {
            finish(nowMs, Either.right(mWritten.orElseThrow()));
        } else if (reply instanceof PlatformReply.Unavailable) {
            mOpen = true;
            mOpenVersion = version;
            retry(nowMs, ErrorKind.OUTCOME_UNKNOWN);
        } else if (reply instanceof PlatformReply.Conflict) {
            retry(nowMs, ErrorKind.REVISION_CONFLICT);
        } else {
            retry(nowMs, ErrorKind.PLATFORM_UNAVAILABLE);
        }
    }

    private void retry(long nowMs, ErrorKind reason) {
        if (mOwner.retryLater(nowMs, this, mAttempts)) {
            return;
        }
        ErrorKind kind = mOpen ? ErrorKind.OUTCOME_UNKNOWN : reason;
        String message = mKey + " was not changed in " + mAttempts + " attempts; retry later";
        finish(nowMs, Either.left(Failure.of(kind, message)));
    }

    private void finish(long nowMs, Either<Failure, T> result) {
        mDone.accept(nowMs, result);
        mOwner.finished(nowMs, mKey);
    }
}
