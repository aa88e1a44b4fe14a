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
 * Objects of the platform by their keys, none of which ever goes back.
 *
 * <p>Invariant: for each key the versions shown only grow, a deletion counting as a version. Not
 * thread-safe: guarded by the lock of the view that holds it.
 */
final class VersionedObjects {
    private final TreeMap<String, StoredObject> mObjects = new TreeMap<>();
    private final Map<String, Long> mDeleted = new HashMap<>();

    Optional<StoredObject> get(String key) {
        return Optional.ofNullable(mObjects.get(key));
    }

    /** Returns all objects in the order of their keys. */
    List<StoredObject> all() {
        return List.copyOf(mObjects.values());
    }

    /** Takes an object as it stands; what that changes is added to {@code shown}. */
    void apply(StoredObject object, List<Change> shown) {
        apply(new Change(object.key(), Optional.of(object.value()), object.version()), shown);
    }

    /** Takes a change; it is added to {@code shown} unless it is known or older than what is. */
    void apply(Change change, List<Change> shown) {
        StoredObject known = mObjects.get(change.key());
        long knownVersion =
                known != null ? known.version() : mDeleted.getOrDefault(change.key(), 0L);
        if (change.version() <= knownVersion && !deletesAt(known, change)) {
            return;
        }
        if (change.value().isPresent()) {
            mDeleted.remove(change.key());
            mObjects.put(
                    change.key(),
                    new StoredObject(change.key(), change.value().get(), change.version()));
        } else if (mObjects.remove(change.key()) == null) {
            return;
        } else {
            mDeleted.put(change.key(), change.version());
        }
        shown.add(change);
    }

    /** A listing that lacks an object of its own version shows that it was deleted since. */
    private static boolean deletesAt(StoredObject known, Change change) {
        return known != null && change.value().isEmpty() && change.version() == known.version();
    }

    /** Shows as deleted what a whole list of keys lacks; the deletion counts as its version. */
    void removeAllBut(Set<String> keys, long listVersion, List<Change> shown) {
        for (StoredObject object : all()) {
            if (!keys.contains(object.key()) && object.version() <= listVersion) {
                apply(new Change(object.key(), Optional.empty(), listVersion), shown);
            }
        }
    }

    /** Forgets deletions of which no older change can come any more. */
    void forgetDeletions(long upToVersion) {
        mDeleted.values().removeIf(v -> v <= upToVersion);
    }
}
