package org.hornbeampass.coordination.requests;

import java.util.ArrayList;
import java.util.List;

/**
 * The state of a shard at one position in the log, ready to be written.
 *
 * <p>Taken when a generation of bills is closed, while the new one is still empty. Immutable:
 * closed generations don't change, and the rest is text.
 *
 * @param nextSequence sequence of the first batch that the checkpoint does not contain
 * @param openNumber the number of the new generation
 * @param clock the log's time
 * @param generations the closed generations, oldest first
 * @param claims the encoded parts of the claims
 * @param totals the encoded parts of the totals
 */
record Checkpoint(
        long nextSequence,
        long openNumber,
        ActiveClock.Snapshot clock,
        List<RecentBills.Generation> generations,
        List<String> claims,
        List<String> totals) {
    /** Takes a checkpoint of a state whose open generation is empty. */
    static Checkpoint of(ShardState state) {
        List<RecentBills.Generation> generations = new ArrayList<>();
        state.bills().closedGenerations().forEach(generations::add);
        return new Checkpoint(
                state.nextSequence(),
                state.bills().openNumber(),
                state.clock().snapshot(),
                generations,
                CheckpointParts.encodeClaims(state.claims()),
                CheckpointParts.encodeTotals(state.totals()));
    }

    /** Returns the manifest that lists the parts of this checkpoint. */
    CheckpointManifest manifest() {
        List<CheckpointManifest.GenerationParts> parts =
                generations.stream()
                        .map(
                                g ->
                                        new CheckpointManifest.GenerationParts(
                                                g.number(), partCount(g.size())))
                        .toList();
        return new CheckpointManifest(
                nextSequence, openNumber, clock, parts, claims.size(), totals.size());
    }

    private static int partCount(int ids) {
        return (ids + CheckpointParts.IDS_PER_PART - 1) / CheckpointParts.IDS_PER_PART;
    }
}
