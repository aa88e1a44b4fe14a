package org.hornbeampass.coordination.news;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

import java.util.List;

/**
 * Changes of a view after a version, or only the information that they are too large to send.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param prefix the prefix of the view's keys
 * @param upToVersion the store's version up to which the replying VM knows the view; 0 if that is
 *     not newer than the version asked for
 * @param leftOut whether objects changed after the version asked for, but are not sent
 * @param keys the keys of all objects of the view; empty if objects are left out
 * @param objects the objects that changed after the version asked for; empty if they are left out
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

    /** Returns the reply of a VM that knows no newer version. */
    static ViewChangesReply unchanged(String prefix) {
        return new ViewChangesReply(prefix, 0, false, List.of(), List.of());
    }

    /** Returns the reply of a VM that has more changes than it may send now. */
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
