package org.hornbeampass.protocol.peer;

import org.agrona.collections.Int2ObjectHashMap;
import org.hornbeampass.coordination.peer.PeerMessage;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Looks up message types by number and by record class.
 *
 * <p>Invariant: numbers and record classes are unique. Immutable after construction; safe for use
 * by any thread.
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
                        "message type "
                                + type
                                + " has a number or record class that is already taken");
            }
        }
    }

    /** Returns a lookup of all types in {@link PeerMessageType}. */
    public static PeerTypes standard() {
        return of(Arrays.stream(PeerMessageType.values()).map(PeerMessageType::type).toList());
    }

    /**
     * Returns a lookup of the given types.
     *
     * @throws IllegalArgumentException if a number or a record class occurs more than once
     */
    public static PeerTypes of(List<PeerType> types) {
        return new PeerTypes(types);
    }

    /** Returns the type with the given number, or empty if this router does not know it. */
    public Optional<PeerType> byNumber(int number) {
        return Optional.ofNullable(mByNumber.get(number));
    }

    /** Returns the type of the given record class, or empty if it is not listed. */
    public Optional<PeerType> byClass(Class<? extends PeerMessage> messageClass) {
        return Optional.ofNullable(mByClass.get(messageClass));
    }
}
