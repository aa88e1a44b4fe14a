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
 * One change of one record, with its reads, writes and retries.
 *
 * <p>Invariant: at most one write is unconfirmed. Once the record has been read at another revision
 * without this change's mark, an earlier write of the change can no longer take effect; a store
 * that was restored may still apply it at the revision on which it was based. Not thread-safe: each
 * step follows the reply to the previous one or a tick of the writer.
 */
final class RecordChange<T> {
    private final ConditionalWriter mWriter;
    private final Platform mPlatform;
    private final String mKey;
    private final Class<T> mType;
    private final StoredValue.Mark mMark;
    private final Function<Optional<T>, Either<Failure, T>> mChange;
    private final BiConsumer<Long, Either<Failure, T>> mDone;

    private int mAttempts;
    private boolean mWriteUnconfirmed;
    private long mUnconfirmedBaseVersion;
    private Optional<T> mWritten = Optional.empty();

    RecordChange(
            ConditionalWriter owner,
            Platform platform,
            String key,
            Class<T> type,
            StoredValue.Mark mark,
            Function<Optional<T>, Either<Failure, T>> change,
            BiConsumer<Long, Either<Failure, T>> done) {
        mWriter = owner;
        mPlatform = platform;
        mKey = key;
        mType = type;
        mMark = mark;
        mChange = change;
        mDone = done;
    }

    /** Reads the record and then applies and writes the change. */
    void attempt(long nowMs) {
        mAttempts++;
        mPlatform.submit(
                nowMs,
                new PlatformCall.Get(mKey),
                (atMs, reply) -> {
                    if (reply instanceof PlatformReply.Missing) {
                        onRead(atMs, Optional.empty());
                    } else if (reply instanceof PlatformReply.Found found) {
                        onRead(atMs, Optional.of(found.object()));
                    } else {
                        retry(atMs, ErrorKind.PLATFORM_UNAVAILABLE);
                    }
                });
    }

    private void onRead(long nowMs, Optional<StoredObject> object) {
        long version = object.map(StoredObject::version).orElse(0L);
        if (object.isEmpty() && mWriteUnconfirmed && mUnconfirmedBaseVersion != 0) {
            finish(nowMs, Either.left(unknownOutcome()));
            return;
        }
        if (object.isEmpty()) {
            applyChange(nowMs, version, Optional.empty(), List.of());
            return;
        }
        Either<Failure, StoredValue> decoded = Json.decode(object.get().value(), StoredValue.class);
        if (decoded.isLeft()) {
            finish(nowMs, Either.left(decoded.getLeft()));
            return;
        }
        StoredValue stored = decoded.get();
        if (mWriteUnconfirmed
                && StoreVersion.revision(version) != StoreVersion.revision(mUnconfirmedBaseVersion)
                && !resolveUnconfirmedWrite(nowMs, stored)) {
            return;
        }
        Either<Failure, T> body = Json.decode(stored.body().toString(), mType);
        if (body.isLeft()) {
            finish(nowMs, Either.left(body.getLeft()));
            return;
        }
        applyChange(nowMs, version, Optional.of(body.get()), stored.marks());
    }

    /** Determines whether the unconfirmed write took effect; returns true if it did not. */
    private boolean resolveUnconfirmedWrite(long nowMs, StoredValue stored) {
        StoredValue.Presence presence = stored.presence(mMark);
        if (presence == StoredValue.Presence.NOT_APPLIED) {
            mWriteUnconfirmed = false;
            return true;
        }
        if (presence == StoredValue.Presence.APPLIED) {
            finish(nowMs, Either.right(mWritten.orElseThrow()));
        } else {
            finish(nowMs, Either.left(unknownOutcome()));
        }
        return false;
    }

    private Failure unknownOutcome() {
        return Failure.of(
                ErrorKind.OUTCOME_UNKNOWN, mKey + " was changed by too many other writers since");
    }

    private void applyChange(
            long nowMs, long version, Optional<T> current, List<StoredValue.Mark> marks) {
        Either<Failure, T> changed = mChange.apply(current);
        if (changed.isLeft() || changed.get().equals(current.orElse(null))) {
            if (mWriteUnconfirmed) {
                retry(nowMs, ErrorKind.OUTCOME_UNKNOWN);
            } else {
                finish(nowMs, changed);
            }
            return;
        }
        mWritten = Optional.of(changed.get());
        JsonNode body = Json.decode(Json.encode(changed.get()), JsonNode.class).get();
        String value = Json.encode(StoredValue.after(marks, body, mMark));
        int bytes = value.getBytes(StandardCharsets.UTF_8).length;
        if (bytes > PlatformCall.MAX_VALUE_BYTES) {
            String message =
                    mKey + " would take " + bytes + " bytes, more than the platform stores";
            finish(nowMs, Either.left(Failure.of(ErrorKind.REQUEST_TOO_LARGE, message)));
            return;
        }
        write(nowMs, version, value);
    }

    private void write(long nowMs, long version, String value) {
        PlatformCall call = PlatformCall.write(mKey, value, version);
        mPlatform.submit(nowMs, call, (atMs, reply) -> onWriteReply(atMs, version, reply));
    }

    private void onWriteReply(long nowMs, long version, PlatformReply reply) {
        if (reply instanceof PlatformReply.Written) {
            finish(nowMs, Either.right(mWritten.orElseThrow()));
        } else if (reply instanceof PlatformReply.Unavailable) {
            mWriteUnconfirmed = true;
            mUnconfirmedBaseVersion = version;
            retry(nowMs, ErrorKind.OUTCOME_UNKNOWN);
        } else if (reply instanceof PlatformReply.Conflict) {
            retry(nowMs, ErrorKind.REVISION_CONFLICT);
        } else {
            retry(nowMs, ErrorKind.PLATFORM_UNAVAILABLE);
        }
    }

    private void retry(long nowMs, ErrorKind reason) {
        if (mWriter.scheduleRetry(nowMs, this, mAttempts)) {
            return;
        }
        ErrorKind kind = mWriteUnconfirmed ? ErrorKind.OUTCOME_UNKNOWN : reason;
        String message = mKey + " was not changed in " + mAttempts + " attempts; retry later";
        finish(nowMs, Either.left(Failure.of(kind, message)));
    }

    private void finish(long nowMs, Either<Failure, T> result) {
        mDone.accept(nowMs, result);
        mWriter.onFinished(nowMs, mKey);
    }
}
