package org.hornbeampass.router.admin;

import io.vavr.control.Either;

import org.hornbeampass.state.Failure;
import org.hornbeampass.state.config.ConfigChange;
import org.hornbeampass.state.config.ConfigSnapshot;

import java.util.OptionalLong;
import java.util.function.BiConsumer;

/**
 * What the operators' API needs of the configuration.
 *
 * <p>Implementations are thread-safe and never block.
 */
public interface ConfigurationPort {
    /** Returns the configuration that this router runs, with the revisions of its objects. */
    ConfigSnapshot snapshot();

    /**
     * Returns how long ago this router last knew that it runs the newest configuration, in
     * milliseconds; 0 while it hears of changes as they are made.
     */
    long ageMs(long nowMs);

    /**
     * Proposes a change.
     *
     * @param nowMs the present time in milliseconds
     * @param change the change
     * @param expectedRevision the revision that the object must have; 0 where it must not exist;
     *     empty for the one that this router has in force
     * @param done run once with the accepted change's revision, or why it was not accepted
     */
    void propose(
            long nowMs,
            ConfigChange change,
            OptionalLong expectedRevision,
            BiConsumer<Long, Either<Failure, Long>> done);
}
