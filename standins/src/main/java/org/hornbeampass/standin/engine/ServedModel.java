package org.hornbeampass.standin.engine;

import java.util.Optional;

/**
 * A model or adapter as the engine holds it.
 *
 * <p>While another version loads, the ready one goes on serving. Immutable; safe for use by any
 * thread.
 *
 * @param name the name under which requests ask for it
 * @param base the model that an adapter stands on; empty for a model
 * @param readyVersion the version that serves; empty while the first one loads
 * @param loadingVersion the version that loads; empty where none does
 */
public record ServedModel(
        String name,
        Optional<String> base,
        Optional<String> readyVersion,
        Optional<String> loadingVersion) {
    ServedModel loading(String version) {
        return new ServedModel(name, base, readyVersion, Optional.of(version));
    }

    ServedModel loaded(String version) {
        return new ServedModel(name, base, Optional.of(version), Optional.empty());
    }

    ServedModel withoutLoading() {
        return new ServedModel(name, base, readyVersion, Optional.empty());
    }
}
