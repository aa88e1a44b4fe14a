package org.hornbeampass.router.admin;

import io.vavr.control.Either;

import org.hornbeampass.state.Failure;
import org.hornbeampass.state.config.ConfigChange;
import org.hornbeampass.state.config.ConfigSnapshot;

import java.util.OptionalLong;
import java.util.function.BiConsumer;

/**
 * Reads and changes the configuration for the operators' API.
 *
 * <p>Implementations are thread-safe and never block.
 */
public interface ConfigurationPort {
    /** Returns the configuration that this router runs, with the revisions of its objects. */
    ConfigSnapshot snapshot();

    /**
     * Returns how long ago this router last confirmed that it runs the newest configuration, in
     * milliseconds; 0 while it receives changes as they are made.
     */
    long ageMs(long nowMs);

    /**
     * Proposes a change.
     *
     * @param nowMs the present time in milliseconds
     * @param change the change
     * @param expectedRevision the revision that the object must have; 0 where it must not exist;
     *     empty for the revision that this router has applied
     * @param done called once with the accepted change's revision, or why it was rejected
     */
    void propose(
            long nowMs,
            ConfigChange change,
            OptionalLong expectedRevision,
            BiConsumer<Long, Either<Failure, Long>> done);
}
