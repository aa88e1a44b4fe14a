package org.hornbeampass.coordination.budget;

import io.vavr.control.Either;

import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.coordination.platform.PlatformReply.StoredObject;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.Json;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.budget.LedgerRecord;

import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Function;

/**
 * Changes the record of one organisation by conditional updates, retried until the record contains
 * the change.
 *
 * <p>Invariant: the change function detects whether the record contains the change already, so that
 * a write whose reply was lost is never made twice. Each instance is used once; its callbacks may
 * run on any thread, one after the other.
 */
final class LedgerEdit {
    private static final int MAX_ATTEMPTS = 12;

    private final Platform mPlatform;
    private final String mKey;
    private final Function<LedgerRecord, Either<Failure, Optional<LedgerRecord>>> mChange;
    private final BiConsumer<Long, Either<Failure, LedgerRecord>> mDone;
    private int mAttempts;

    /**
     * Creates an edit.
     *
     * @param change returns the changed record; empty if the record contains the change already; or
     *     an error, which ends the edit
     * @param done receives the record with the change, or {@code PLATFORM_UNAVAILABLE}, after which
     *     it is unknown whether the change was made; or the error that {@code change} returned
     */
    LedgerEdit(
            Platform platform,
            OrganisationId organisation,
            Function<LedgerRecord, Either<Failure, Optional<LedgerRecord>>> change,
            BiConsumer<Long, Either<Failure, LedgerRecord>> done) {
        mPlatform = platform;
        mKey = LedgerSync.objectKey(organisation);
        mChange = change;
        mDone = done;
    }

    /** Returns the error for a platform that does not reply. */
    static Failure unavailable() {
        return Failure.retryAfter(
                ErrorKind.PLATFORM_UNAVAILABLE,
                "the platform does not reply; repeat the same command, it takes effect only once",
                1_000);
    }

    /** Reads the record, then changes and writes it. */
    void start(long nowMs) {
        if (++mAttempts > MAX_ATTEMPTS) {
            mDone.accept(nowMs, Either.left(unavailable()));
            return;
        }
        mPlatform.submit(nowMs, new PlatformCall.Get(mKey), this::onRead);
    }

    private void onRead(long nowMs, PlatformReply reply) {
        if (reply instanceof PlatformReply.Found found) {
            apply(nowMs, Optional.of(found.object()));
        } else if (reply instanceof PlatformReply.Missing) {
            apply(nowMs, Optional.empty());
        } else {
            start(nowMs);
        }
    }

    private void apply(long nowMs, Optional<StoredObject> object) {
        Either<Failure, LedgerRecord> decoded =
                object.map(o -> Json.decode(o.value(), LedgerRecord.class))
                        .orElse(Either.right(LedgerRecord.empty()));
        if (decoded.isLeft()) {
            mDone.accept(nowMs, decoded);
            return;
        }
        Either<Failure, Optional<LedgerRecord>> changed = mChange.apply(decoded.get());
        if (changed.isLeft()) {
            mDone.accept(nowMs, Either.left(changed.getLeft()));
            return;
        }
        if (changed.get().isEmpty()) {
            mDone.accept(nowMs, decoded);
            return;
        }
        write(nowMs, object, changed.get().get());
    }

    private void write(long nowMs, Optional<StoredObject> object, LedgerRecord next) {
        String value = Json.encode(next);
        PlatformCall call =
                object.isEmpty()
                        ? new PlatformCall.Create(mKey, value)
                        : new PlatformCall.Update(mKey, value, object.get().version());
        mPlatform.submit(nowMs, call, (at, reply) -> onWrite(at, next, reply));
    }

    private void onWrite(long nowMs, LedgerRecord next, PlatformReply reply) {
        if (reply instanceof PlatformReply.Written) {
            mDone.accept(nowMs, Either.right(next));
            return;
        }
        start(nowMs);
    }
}
