package org.hornbeampass.coordination.platform;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The platform's reply to one {@link PlatformCall}.
 *
 * <p>Versions are positive, increase with each write and are unique across the platform's store and
 * across its eras; see {@link StoreVersion}. Immutable; safe for use by any thread.
 */
public sealed interface PlatformReply {
    /** Returns a version from which the store's era is known; empty if the reply has none. */
    default OptionalLong statedVersion() {
        return OptionalLong.empty();
    }

    /**
     * One stored object.
     *
     * @param key its key
     * @param value its JSON text
     * @param version the version of its last write
     */
    record StoredObject(String key, String value, long version) {}

    /**
     * One change that a watch reports.
     *
     * @param key the changed object's key
     * @param value its new JSON text; empty if it was deleted
     * @param version the version of the change
     */
    record Change(String key, Optional<String> value, long version) {}

    /**
     * The object exists.
     *
     * @param object the object
     */
    record Found(StoredObject object) implements PlatformReply {
        @Override
        public OptionalLong statedVersion() {
            return OptionalLong.of(object.version());
        }
    }

    /** The object does not exist. */
    record Missing() implements PlatformReply {}

    /**
     * One page of a listing.
     *
     * @param objects the objects in the order of their keys
     * @param more whether further objects follow the last one
     * @param storeVersion the store's version at the time of the listing; a watch may start from it
     */
    record Listed(List<StoredObject> objects, boolean more, long storeVersion)
            implements PlatformReply {
        /** Copies the list. */
        public Listed {
            objects = List.copyOf(objects);
        }

        @Override
        public OptionalLong statedVersion() {
            return OptionalLong.of(storeVersion);
        }
    }

    /**
     * The write took effect.
     *
     * @param version the object's new version
     */
    record Written(long version) implements PlatformReply {
        @Override
        public OptionalLong statedVersion() {
            return OptionalLong.of(version);
        }
    }

    /**
     * The write did not take effect, since the object did not have the expected version.
     *
     * @param current the current object; empty if it does not exist
     */
    record Conflict(Optional<StoredObject> current) implements PlatformReply {
        @Override
        public OptionalLong statedVersion() {
            return current.stream().mapToLong(StoredObject::version).findFirst();
        }
    }

    /**
     * Changes in the order of their versions, possibly none.
     *
     * @param changes the changes
     * @param upToVersion the version from which to watch next
     */
    record Changed(List<Change> changes, long upToVersion) implements PlatformReply {
        /** Copies the list. */
        public Changed {
            changes = List.copyOf(changes);
        }

        @Override
        public OptionalLong statedVersion() {
            return OptionalLong.of(upToVersion);
        }
    }

    /** The requested changes are no longer kept; the objects must be listed again. */
    record WatchGap() implements PlatformReply {}

    /** The call was rejected because of a rate limit and had no effect. */
    record Throttled() implements PlatformReply {}

    /**
     * No reply was received; a write may have taken effect.
     *
     * @param reason the reason, for logs
     */
    record Unavailable(String reason) implements PlatformReply {}
}
