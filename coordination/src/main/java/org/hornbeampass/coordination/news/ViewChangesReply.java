package org.hornbeampass.coordination.news;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

import java.util.List;

/**
 * What a VM has seen of a view since a version, or only that there is more than may be sent.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param prefix the prefix of the view's keys
 * @param upToVersion the store's version up to which the answering VM is informed; 0 where it knows
 *     nothing newer
 * @param leftOut whether objects changed since the version asked for, and are not sent
 * @param keys the keys of all objects of the view; empty where any are left out
 * @param objects the objects that changed since the version asked for; empty where any are left out
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ViewChangesReply(
        String prefix, long upToVersion, boolean leftOut, List<String> keys, List<Item> objects)
        implements PeerMessage {
    /** Copies the lists. */
    public ViewChangesReply {
        keys = List.copyOf(keys);
        objects = List.copyOf(objects);
    }

    /** Returns the answer of a VM that knows nothing newer. */
    static ViewChangesReply unchanged(String prefix) {
        return new ViewChangesReply(prefix, 0, false, List.of(), List.of());
    }

    /** Returns the answer of a VM that knows of more than it may send now. */
    static ViewChangesReply tooLarge(String prefix, long upToVersion) {
        return new ViewChangesReply(prefix, upToVersion, true, List.of(), List.of());
    }

    /**
     * One object of the store.
     *
     * @param key its key
     * @param value its JSON text
     * @param version the version of its last change
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    public record Item(String key, String value, long version) {}
}
