package org.hornbeampass.coordination.log;

/**
 * Lowest sequence of a {@link ShardLog} that is valid; all batches below it may be deleted.
 *
 * <p>Invariant: the stored floor only grows, and is raised before any batch below it is deleted.
 * Immutable; safe for use by any thread.
 *
 * @param sequence the lowest valid sequence
 */
record LogFloor(long sequence) {}
