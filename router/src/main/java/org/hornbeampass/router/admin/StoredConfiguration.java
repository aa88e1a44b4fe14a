package org.hornbeampass.router.admin;

import io.vavr.control.Either;

import org.hornbeampass.coordination.config.ConfigStore;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.config.ConfigChange;
import org.hornbeampass.state.config.ConfigSnapshot;

import java.util.OptionalLong;
import java.util.function.BiConsumer;

/**
 * The configuration of this router's {@link ConfigStore}.
 *
 * <p>Thread-safe as the store is.
 */
public final class StoredConfiguration implements ConfigurationPort {
    private final ConfigStore mStore;
    private final long mMaxSilenceMs;

    /**
     * Takes the store.
     *
     * @param store the store
     * @param maxSilenceMs for how long the platform may say nothing while all is well, in
     *     milliseconds
     */
    public StoredConfiguration(ConfigStore store, long maxSilenceMs) {
        mStore = store;
        mMaxSilenceMs = maxSilenceMs;
    }

    @Override
    public ConfigSnapshot snapshot() {
        return mStore.snapshot();
    }

    @Override
    public long ageMs(long nowMs) {
        OptionalLong confirmedMs = mStore.confirmedMs();
        long ageMs = confirmedMs.isPresent() ? nowMs - confirmedMs.getAsLong() : 0;
        return ageMs <= mMaxSilenceMs ? 0 : ageMs;
    }

    @Override
    public void propose(
            long nowMs,
            ConfigChange change,
            OptionalLong expectedRevision,
            BiConsumer<Long, Either<Failure, Long>> done) {
        mStore.propose(nowMs, change, expectedRevision, done);
    }
}
