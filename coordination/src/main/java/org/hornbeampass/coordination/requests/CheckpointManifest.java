package org.hornbeampass.coordination.requests;

import com.fasterxml.jackson.annotation.JsonFormat;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Names the parts of a shard's checkpoint and the place in the log that it stands for.
 *
 * <p>Invariant: on the platform, {@code nextSequence} only grows; every part that the stored
 * manifest names exists, since parts are written before it and deleted after its successor.
 * Immutable; safe for use by any thread.
 *
 * @param nextSequence the first batch that is not in the checkpoint
 * @param openNumber the number of the generation of bills that is open there, and empty
 * @param clock the log's time there
 * @param generations the closed generations, the oldest first
 * @param claimParts how many parts the claims take
 * @param totalParts how many parts the totals take
 */
record CheckpointManifest(
        long nextSequence,
        long openNumber,
        ActiveClock.Snapshot clock,
        List<GenerationParts> generations,
        int claimParts,
        int totalParts) {
    /**
     * How many parts one generation takes.
     *
     * @param number the generation's number
     * @param parts how many parts it takes
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
