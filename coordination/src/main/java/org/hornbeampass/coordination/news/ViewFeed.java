package org.hornbeampass.coordination.news;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.platform.PlatformReply;

import java.util.List;
import java.util.Optional;

/**
 * What changed in the views of a VM that watches the platform; sent at an interval even where
 * nothing changed, so that VMs that do not watch know that they are up to date.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param direct whether the platform answers the sender itself
 * @param views one item for each view
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ViewFeed(boolean direct, List<Item> views) implements PeerMessage {
    /** Copies the list. */
    public ViewFeed {
        views = List.copyOf(views);
    }

    /**
     * The changes of one view.
     *
     * @param prefix the prefix of the view's keys
     * @param baseVersion the version after which the changes begin
     * @param upToVersion the version that the sender's view reflects
     * @param leftOut whether there are changes that are not sent: they are too large, or the store
     *     was restored since the former feed
     * @param changes the changes; empty if they are left out
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    public record Item(
            String prefix,
            long baseVersion,
            long upToVersion,
            boolean leftOut,
            List<Change> changes) {
        /** Copies the list. */
        public Item {
            changes = List.copyOf(changes);
        }
    }

    /**
     * A change of one object.
     *
     * @param key its key
     * @param value its JSON text; empty where it was deleted
     * @param version the version of the change
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    public record Change(String key, String value, long version) {
        static Change of(PlatformReply.Change change) {
            return new Change(change.key(), change.value().orElse(""), change.version());
        }

        PlatformReply.Change toChange() {
            Optional<String> content = value.isEmpty() ? Optional.empty() : Optional.of(value);
            return new PlatformReply.Change(key, content, version);
        }
    }
}
