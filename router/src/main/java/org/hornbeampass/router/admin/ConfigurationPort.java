package org.hornbeampass.router.admin;

import io.vavr.control.Either;

import org.hornbeampass.state.Failure;
import org.hornbeampass.state.config.ConfigSnapshot;

import java.util.OptionalLong;
import java.util.function.BiConsumer;

/**
 * What the operators' API needs of the configuration.
 *
 * <p>Implementations are thread-safe and never block.
 */
public interface ConfigurationPort {
    /** Returns the configuration that this router runs. */
    ConfigSnapshot snapshot();

    /**
     * Returns how long ago this router last knew that it runs the newest configuration, in
     * milliseconds; 0 while it hears of changes as they are made.
     */
    long ageMs(long nowMs);

    /** Returns the revision of an object's last change; empty where there is no such object. */
    OptionalLong revisionOf(ConfigObject object);

    /**
     * Proposes a change.
     *
     * @param nowMs the present time in milliseconds
     * @param edit the change
     * @param expectedRevision the revision that the object must have; 0 where it must not exist;
     *     empty where any will do
     * @param done run once with the accepted change's revision, or {@code REVISION_CONFLICT},
     *     {@code ALREADY_EXISTS}, {@code NOT_FOUND} or {@code PLATFORM_UNAVAILABLE}
     */
    void propose(
            long nowMs,
            ConfigEdit edit,
            OptionalLong expectedRevision,
            BiConsumer<Long, Either<Failure, Long>> done);
}
