package org.hornbeampass.coordination.platform;

import org.hornbeampass.coordination.platform.PlatformReply.Change;
import org.hornbeampass.coordination.platform.PlatformReply.StoredObject;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * The objects of a view by key, with tombstones of deleted ones.
 *
 * <p>Invariant: for each key the reported versions only increase; a deletion counts as a version.
 * Not thread-safe: guarded by the lock of the view that owns it.
 */
final class VersionedObjects {
    private final TreeMap<String, StoredObject> mObjects = new TreeMap<>();
    private final Map<String, Long> mTombstones = new HashMap<>();

    Optional<StoredObject> get(String key) {
        return Optional.ofNullable(mObjects.get(key));
    }

    /** Returns all objects in the order of their keys. */
    List<StoredObject> all() {
        return List.copyOf(mObjects.values());
    }

    /** Applies the current state of an object; a change is added to {@code reported}. */
    void apply(StoredObject object, List<Change> reported) {
        apply(new Change(object.key(), Optional.of(object.value()), object.version()), reported);
    }

    /**
     * Applies a change and adds it to {@code reported}, unless a newer or the same one is known.
     */
    void apply(Change change, List<Change> reported) {
        StoredObject known = mObjects.get(change.key());
        long knownVersion =
                known != null ? known.version() : mTombstones.getOrDefault(change.key(), 0L);
        if (change.version() <= knownVersion && !isDeletionAtSameVersion(known, change)) {
            return;
        }
        if (change.value().isPresent()) {
            mTombstones.remove(change.key());
            mObjects.put(
                    change.key(),
                    new StoredObject(change.key(), change.value().get(), change.version()));
        } else if (mObjects.remove(change.key()) == null) {
            return;
        } else {
            mTombstones.put(change.key(), change.version());
        }
        reported.add(change);
    }

    /** Returns whether a listing of the version of an object lacks it, so that it was deleted. */
    private static boolean isDeletionAtSameVersion(StoredObject known, Change change) {
        return known != null && change.value().isEmpty() && change.version() == known.version();
    }

    /** Deletes the objects that a complete list of keys lacks, at the version of the list. */
    void retainKeys(Set<String> keys, long listVersion, List<Change> reported) {
        for (StoredObject object : all()) {
            if (!keys.contains(object.key()) && object.version() <= listVersion) {
                apply(new Change(object.key(), Optional.empty(), listVersion), reported);
            }
        }
    }

    /** Removes the tombstones of deletions before which no change can arrive any more. */
    void dropTombstones(long upToVersion) {
        mTombstones.values().removeIf(v -> v <= upToVersion);
    }
}
