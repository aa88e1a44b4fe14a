package org.hornbeampass.protocol.platform;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;

import org.hornbeampass.coordination.platform.PlatformReply;

import java.util.List;
import java.util.Optional;

/**
 * The JSON bodies of requests and responses of the platform's object API.
 *
 * <p>The records are immutable; safe for use by any thread.
 */
public final class PlatformBodies {
    private PlatformBodies() {}

    /**
     * One object: the response to a read, and part of the response to a conflicting write.
     *
     * @param key its key
     * @param value its JSON text, encoded as a string
     * @param version the version of its last write
     */
    public record ObjectBody(String key, String value, long version) {
        /** Returns the body that represents an object. */
        public static ObjectBody of(PlatformReply.StoredObject object) {
            return new ObjectBody(object.key(), object.value(), object.version());
        }

        /** Returns the object that this body represents. */
        public PlatformReply.StoredObject toObject() {
            return new PlatformReply.StoredObject(key, value, version);
        }
    }

    /**
     * The response to a listing: one page of objects.
     *
     * @param objects the objects, ordered by their keys
     * @param more whether more objects follow this page
     * @param storeVersion the version after which to start watching for changes
     */
    public record ListBody(
            List<ObjectBody> objects,
            boolean more,
            @JsonProperty("store_version") long storeVersion) {
        /** Copies the list. */
        public ListBody {
            objects = List.copyOf(objects);
        }
    }

    /**
     * The response to a write that took effect.
     *
     * @param version the object's new version
     */
    public record WrittenBody(long version) {}

    /**
     * The response to a write that had no effect because the object is not at the given version.
     *
     * @param current the object as stored; absent if it does not exist
     */
    @JsonInclude(JsonInclude.Include.NON_ABSENT)
    public record ConflictBody(Optional<ObjectBody> current) {}

    /**
     * One change of an object.
     *
     * @param key the object's key
     * @param value its new JSON text, encoded as a string; absent if the object was deleted
     * @param version the version of the change
     */
    @JsonInclude(JsonInclude.Include.NON_ABSENT)
    public record ChangeBody(String key, Optional<String> value, long version) {
        /** Returns the body that represents a change. */
        public static ChangeBody of(PlatformReply.Change change) {
            return new ChangeBody(change.key(), change.value(), change.version());
        }

        /** Returns the change that this body represents. */
        public PlatformReply.Change toChange() {
            return new PlatformReply.Change(key, value, version);
        }
    }

    /**
     * The response to a watch.
     *
     * @param changes the changes in the order of their versions; empty if there was none within the
     *     wait
     * @param upToVersion the version after which to continue watching
     */
    public record ChangesBody(
            List<ChangeBody> changes, @JsonProperty("up_to_version") long upToVersion) {
        /** Copies the list. */
        public ChangesBody {
            changes = List.copyOf(changes);
        }
    }
}
