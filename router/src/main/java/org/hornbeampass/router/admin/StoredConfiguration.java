package org.hornbeampass.router.admin;

import io.vavr.control.Either;

import org.hornbeampass.coordination.config.ConfigStore;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.config.ConfigChange;
import org.hornbeampass.state.config.ConfigSnapshot;

import java.util.OptionalLong;
import java.util.function.BiConsumer;

/**
 * Reads and changes the configuration in this router's {@link ConfigStore}.
 *
 * <p>As thread-safe as the store.
 */
public final class StoredConfiguration implements ConfigurationPort {
    private final ConfigStore mStore;
    private final long mMaxSilenceMs;

    /**
     * Creates the port.
     *
     * @param store holds the configuration that this router runs
     * @param maxSilenceMs the longest time without a confirmation from the platform that counts as
     *     normal, in milliseconds; up to it, the age is reported as 0
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
        OptionalLong confirmedMs = mStore.lastConfirmedMs();
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
