package org.hornbeampass.protocol.platform;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;

import org.hornbeampass.coordination.platform.PlatformReply;

import java.util.List;
import java.util.Optional;

/**
 * The JSON bodies of the platform's object API.
 *
 * <p>The records are immutable; safe for use by any thread.
 */
public final class PlatformBodies {
    private PlatformBodies() {}

    /**
     * One object: the answer to a read, and where there is one, to a conflicting write.
     *
     * @param key its key
     * @param value its JSON text, as a string
     * @param version the version of its last write
     */
    public record ObjectBody(String key, String value, long version) {
        /** Returns the body of an object. */
        public static ObjectBody of(PlatformReply.StoredObject object) {
            return new ObjectBody(object.key(), object.value(), object.version());
        }

        /** Returns the object. */
        public PlatformReply.StoredObject toObject() {
            return new PlatformReply.StoredObject(key, value, version);
        }
    }

    /**
     * One page of objects.
     *
     * @param objects the objects in the order of their keys
     * @param more whether further objects follow
     * @param storeVersion the version from which to watch
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
     * The answer to a write that took effect.
     *
     * @param version the object's new version
     */
    public record WrittenBody(long version) {}

    /**
     * The answer to a write that had no effect.
     *
     * @param current the object as it is; absent where it does not exist
     */
    @JsonInclude(JsonInclude.Include.NON_ABSENT)
    public record ConflictBody(Optional<ObjectBody> current) {}

    /**
     * One change.
     *
     * @param key the object's key
     * @param value its new JSON text, as a string; absent where it was deleted
     * @param version the version of the change
     */
    @JsonInclude(JsonInclude.Include.NON_ABSENT)
    public record ChangeBody(String key, Optional<String> value, long version) {
        /** Returns the body of a change. */
        public static ChangeBody of(PlatformReply.Change change) {
            return new ChangeBody(change.key(), change.value(), change.version());
        }

        /** Returns the change. */
        public PlatformReply.Change toChange() {
            return new PlatformReply.Change(key, value, version);
        }
    }

    /**
     * The answer to a watch.
     *
     * @param changes the changes in their order; empty where none came in time
     * @param upToVersion the version from which to watch on
     */
    public record ChangesBody(
            List<ChangeBody> changes, @JsonProperty("up_to_version") long upToVersion) {
        /** Copies the list. */
        public ChangesBody {
            changes = List.copyOf(changes);
        }
    }
}
