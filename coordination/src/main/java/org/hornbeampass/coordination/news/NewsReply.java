package org.hornbeampass.coordination.news;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

import java.util.List;

/**
 * What a VM has seen of a view: all of it, or nothing where it knows nothing newer.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param prefix the prefix of the view's keys
 * @param upToVersion the store's version up to which the answering VM is informed
 * @param objects all objects of the view; empty where {@code upToVersion} is not newer
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record NewsReply(String prefix, long upToVersion, List<Item> objects)
        implements PeerMessage {
    /** Copies the list. */
    public NewsReply {
        objects = List.copyOf(objects);
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
