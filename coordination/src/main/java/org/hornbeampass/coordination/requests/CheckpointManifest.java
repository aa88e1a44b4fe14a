package org.hornbeampass.coordination.requests;

import com.fasterxml.jackson.annotation.JsonFormat;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Lists the parts of a shard's checkpoint and the position in the log at which it was taken.
 *
 * <p>Invariant: on the platform, {@code nextSequence} only grows; every part that the stored
 * manifest lists exists, since parts are written before the manifest and deleted only after its
 * successor is written. Immutable; safe for use by any thread.
 *
 * @param nextSequence sequence of the first batch that the checkpoint does not contain
 * @param openNumber the number of the generation of bills that was open, and empty, at that
 *     position
 * @param clock the log's time at that position
 * @param generations the closed generations, oldest first
 * @param claimParts the number of parts that hold the claims
 * @param totalParts the number of parts that hold the totals
 */
record CheckpointManifest(
        long nextSequence,
        long openNumber,
        ActiveClock.Snapshot clock,
        List<GenerationParts> generations,
        int claimParts,
        int totalParts) {
    /**
     * The number of parts that hold one generation.
     *
     * @param number the generation's number
     * @param parts the number of its parts
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record GenerationParts(long number, int parts) {}

    /** Copies the list. */
    CheckpointManifest {
        Objects.requireNonNull(clock, "clock");
        generations = List.copyOf(generations);
    }

    Optional<GenerationParts> generation(long number) {
        return generations.stream().filter(g -> g.number() == number).findFirst();
    }
}
