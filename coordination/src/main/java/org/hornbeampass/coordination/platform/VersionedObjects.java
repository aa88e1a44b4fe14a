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
 * <p>Invariants: for each key the reported versions only increase; a deletion counts as a version.
 * A value that is known from a former era of the store is only confirmed, and that an object is
 * absent or back in a restored store may be undone by its writer; see {@link RestoredObjects}. Not
 * thread-safe: guarded by the lock of the view that owns it.
 */
final class VersionedObjects {
    private final TreeMap<String, StoredObject> mObjects = new TreeMap<>();
    private final Map<String, Long> mTombstones = new HashMap<>();
    private final RestoredObjects mRestored = new RestoredObjects();

    Optional<StoredObject> get(String key) {
        return Optional.ofNullable(mObjects.get(key));
    }

    /** Returns all objects in the order of their keys. */
    List<StoredObject> all() {
        return List.copyOf(mObjects.values());
    }

    /** Applies the current state of an object; a change is added to {@code reported}. */
    void apply(long nowMs, StoredObject object, ViewChanges reported) {
        Change change = new Change(object.key(), Optional.of(object.value()), object.version());
        apply(nowMs, change, reported);
    }

    /**
     * Applies a change and adds it to {@code reported}, unless a newer or the same one is known.
     */
    void apply(long nowMs, Change change, ViewChanges reported) {
        StoredObject known = mObjects.get(change.key());
        long knownVersion =
                known != null ? known.version() : mTombstones.getOrDefault(change.key(), 0L);
        if (change.version() <= knownVersion && !isDeletionAtSameVersion(known, change)) {
            return;
        }
        if (known == null && mRestored.isWithheld(nowMs, change)) {
            return;
        }
        if (change.value().isPresent()) {
            mTombstones.remove(change.key());
            mRestored.onWritten(change.key());
            mObjects.put(
                    change.key(),
                    new StoredObject(change.key(), change.value().get(), change.version()));
            if (isConfirmed(known, change)) {
                reported.addConfirmed(change);
                return;
            }
        } else if (known == null) {
            return;
        } else {
            mObjects.remove(change.key());
            mTombstones.put(change.key(), change.version());
            mRestored.onRemoved(nowMs, known);
        }
        reported.add(change);
    }

    /** Returns whether a listing of the version of an object lacks it, so that it was deleted. */
    private static boolean isDeletionAtSameVersion(StoredObject known, Change change) {
        return known != null && change.value().isEmpty() && change.version() == known.version();
    }

    /** Returns whether a change has the value that is known from a former era. */
    private static boolean isConfirmed(StoredObject known, Change change) {
        return known != null
                && !StoreVersion.isSameEra(known.version(), change.version())
                && change.value().equals(Optional.of(known.value()));
    }

    /**
     * Applies a list of the store.
     *
     * @param nowMs the present time in milliseconds
     * @param keys the keys of all objects in the store
     * @param objects at least the objects that changed since the version that is known
     * @param listVersion the version of the list
     * @param reported receives the changes
     */
    void applyList(
            long nowMs,
            Set<String> keys,
            List<StoredObject> objects,
            long listVersion,
            ViewChanges reported) {
        mRestored.retainKeys(keys);
        for (StoredObject object : all()) {
            boolean absent = !keys.contains(object.key()) && object.version() <= listVersion;
            if (absent && StoreVersion.isSameEra(object.version(), listVersion)) {
                remove(nowMs, object.key(), listVersion, reported);
            }
        }
        objects.forEach(o -> apply(nowMs, o, reported));
        mObjects.values().stream()
                .filter(o -> !StoreVersion.isSameEra(o.version(), listVersion))
                .forEach(o -> mRestored.onLost(nowMs, o.key()));
    }

    /**
     * Deletes objects that were lost when the store was restored and not written again in time, and
     * adds those that came back and were not removed again.
     *
     * @param nowMs the present time in milliseconds
     * @param upToVersion the version that the view reflects
     * @param reported receives the changes
     */
    void settleRestored(long nowMs, long upToVersion, ViewChanges reported) {
        for (String key : mRestored.takeLost(nowMs)) {
            boolean lost =
                    get(key).filter(o -> !StoreVersion.isSameEra(o.version(), upToVersion))
                            .isPresent();
            if (lost) {
                remove(nowMs, key, upToVersion, reported);
            }
        }
        mRestored.takeReturned(nowMs).forEach(o -> apply(nowMs, o, reported));
    }

    private void remove(long nowMs, String key, long version, ViewChanges reported) {
        apply(nowMs, new Change(key, Optional.empty(), version), reported);
    }

    /** Removes the tombstones of deletions before which no change can arrive any more. */
    void dropTombstones(long upToVersion) {
        mTombstones.values().removeIf(v -> v <= upToVersion);
    }
}
