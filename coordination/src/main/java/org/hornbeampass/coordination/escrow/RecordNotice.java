package org.hornbeampass.coordination.escrow;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

/**
 * Tells the other homes of a pool the record that a home has written, or knows from before the
 * store was restored, so that its grants are known if that home ends or can't write them again.
 *
 * <p>Immutable and thread-safe.
 *
 * @param pool the number of the pool
 * @param version the version of the last write that the record contains
 * @param record the record as JSON text
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record RecordNotice(int pool, long version, String record) implements PeerMessage {}
