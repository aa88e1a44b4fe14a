package org.hornbeampass.router.daemon;

import org.hornbeampass.router.front.ServingConfig;
import org.hornbeampass.state.config.ConfigSnapshot;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

/**
 * Holds the newest configuration, indexed for serving.
 *
 * <p>Invariant: it never goes back to an older revision, also where two are applied at once.
 * Thread-safe.
 */
final class CurrentConfig implements Supplier<ServingConfig> {
    private final AtomicReference<ServingConfig> mConfig =
            new AtomicReference<>(ServingConfig.of(ConfigSnapshot.empty()));

    void apply(ConfigSnapshot snapshot) {
        ServingConfig next = ServingConfig.of(snapshot);
        mConfig.accumulateAndGet(
                next,
                (now, given) ->
                        given.snapshot().revision() > now.snapshot().revision() ? given : now);
    }

    @Override
    public ServingConfig get() {
        return mConfig.get();
    }
}
