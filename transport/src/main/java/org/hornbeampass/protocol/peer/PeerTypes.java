package org.hornbeampass.protocol.peer;

import org.agrona.collections.Int2ObjectHashMap;
import org.hornbeampass.coordination.peer.PeerMessage;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Finds message types by number and by record.
 *
 * <p>Invariant: no number and no record stands twice. Immutable after construction; safe for use by
 * any thread.
 */
public final class PeerTypes {
    private final Int2ObjectHashMap<PeerType> mByNumber = new Int2ObjectHashMap<>();
    private final Map<Class<? extends PeerMessage>, PeerType> mByClass = new HashMap<>();

    private PeerTypes(List<PeerType> types) {
        for (PeerType type : types) {
            PeerType sameNumber = mByNumber.put(type.number(), type);
            PeerType sameClass = mByClass.put(type.messageClass(), type);
            if (sameNumber != null || sameClass != null) {
                throw new IllegalArgumentException(
                        "message type " + type + " has a number or a record that is already taken");
            }
        }
    }

    /** Returns the types of {@link PeerMessageType}. */
    public static PeerTypes standard() {
        return of(Arrays.stream(PeerMessageType.values()).map(PeerMessageType::type).toList());
    }

    /**
     * Returns given types.
     *
     * @throws IllegalArgumentException if a number or a record stands twice
     */
    public static PeerTypes of(List<PeerType> types) {
        return new PeerTypes(types);
    }

    /** Returns the type with a number, if this router knows it. */
    public Optional<PeerType> byNumber(int number) {
        return Optional.ofNullable(mByNumber.get(number));
    }

    /** Returns the type of a record, if it is listed. */
    public Optional<PeerType> byClass(Class<? extends PeerMessage> messageClass) {
        return Optional.ofNullable(mByClass.get(messageClass));
    }
}
