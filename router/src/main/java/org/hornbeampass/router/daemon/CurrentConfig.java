package org.hornbeampass.router.daemon;

import org.hornbeampass.router.front.ServingConfig;
import org.hornbeampass.state.config.ConfigSnapshot;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

/**
 * Holds the newest configuration, indexed for serving.
 *
 * <p>Invariant: the revision never decreases, even when two configurations are applied
 * concurrently. Thread-safe.
 */
final class CurrentConfig implements Supplier<ServingConfig> {
    private final AtomicReference<ServingConfig> mConfig =
            new AtomicReference<>(ServingConfig.of(ConfigSnapshot.empty()));

    void apply(ConfigSnapshot snapshot) {
        ServingConfig next = ServingConfig.of(snapshot);
        mConfig.accumulateAndGet(
                next,
                (current, other) ->
                        other.snapshot().revision() > current.snapshot().revision()
                                ? other
                                : current);
    }

    @Override
    public ServingConfig get() {
        return mConfig.get();
    }
}
