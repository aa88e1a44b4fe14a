package org.hornbeampass.coordination.log;

/**
 * The lowest sequence of a {@link ShardLog} that still counts; all below may be deleted.
 *
 * <p>Invariant: on the platform it only grows, and it is written before any batch below it is
 * deleted. Immutable; safe for use by any thread.
 *
 * @param sequence the lowest sequence that counts
 */
record LogFloor(long sequence) {}
