package org.hornbeampass.router.admin;

import io.vavr.control.Either;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.config.ConfigChange;
import org.hornbeampass.state.config.ConfigSnapshot;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiConsumer;

/** Stores a configuration in memory for tests; for use by one thread. */
final class MemoryConfiguration implements ConfigurationPort {
    private ConfigSnapshot mSnapshot = ConfigSnapshot.empty();
    private Runnable mBeforePropose = () -> {};
    private Optional<Failure> mOutage = Optional.empty();
    private long mAgeMs;

    /** Runs an action once, just before the next proposal is decided. */
    void beforeNextProposal(Runnable action) {
        mBeforePropose = action;
    }

    /**
     * Makes further proposals fail as if the platform were unavailable, and sets the age of reads.
     */
    void outage(long ageMs) {
        mAgeMs = ageMs;
        mOutage = Optional.of(Failure.of(ErrorKind.PLATFORM_UNAVAILABLE, "platform is down"));
    }

    @Override
    public ConfigSnapshot snapshot() {
        return mSnapshot;
    }

    @Override
    public long ageMs(long nowMs) {
        return mAgeMs;
    }

    @Override
    public void propose(
            long nowMs,
            ConfigChange change,
            OptionalLong expectedRevision,
            BiConsumer<Long, Either<Failure, Long>> done) {
        Runnable before = mBeforePropose;
        mBeforePropose = () -> {};
        before.run();
        if (mOutage.isPresent()) {
            done.accept(nowMs, Either.left(mOutage.get()));
            return;
        }
        long current = mSnapshot.objectRevision(change.object());
        if (expectedRevision.orElse(current) != current) {
            String message = change.object() + " was last changed at revision " + current;
            done.accept(nowMs, Either.left(Failure.of(ErrorKind.REVISION_CONFLICT, message)));
            return;
        }
        mSnapshot = mSnapshot.with(change);
        done.accept(nowMs, Either.right(mSnapshot.revision()));
    }
}
