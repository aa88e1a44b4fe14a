package org.hornbeampass.coordination.peer;

/**
 * A typed message between routers.
 *
 * <p>Each implementation is an immutable record of at most a few small fields, annotated
 * {@code @JsonFormat(shape = JsonFormat.Shape.ARRAY)} so that it is encoded without field names,
 * and is listed once, with a stable number, in the protocol layer's {@code PeerMessageType}.
 */
public interface PeerMessage {}
