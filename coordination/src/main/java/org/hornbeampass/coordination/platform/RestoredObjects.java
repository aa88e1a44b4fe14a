package org.hornbeampass.coordination.platform;

import org.hornbeampass.coordination.platform.PlatformReply.Change;
import org.hornbeampass.coordination.platform.PlatformReply.StoredObject;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides which objects of a view a restored store may only have lost or only have got back, so
 * that their writers have a while to write or remove them again.
 *
 * <p>Invariants: an object that the copy lacks stays in the view for {@link #LOST_GRACE_MS}; an
 * object that was removed and is back in the copy, at the revision that it last had, stays out of
 * the view for {@link #RETURNED_GRACE_MS}. A write or removal of the object in the new era ends
 * either at once. Not thread-safe: guarded by the lock of the view that owns it.
 */
final class RestoredObjects {
    /**
     * Time in which the writer of an object that the copy lacks writes it again, in milliseconds.
     */
    static final long LOST_GRACE_MS = 2_500;

    /**
     * Time in which an object that the copy has got back is removed again, in milliseconds: the
     * store itself removes the entry of a writer that is silent for some heartbeats.
     */
    static final long RETURNED_GRACE_MS = 10_000;

    /** The greatest age of a copy from which a store is restored, in milliseconds. */
    private static final long MAX_COPY_AGE_MS = 60_000;

    /** The version that a removed object last had, and when it was removed in milliseconds. */
    private record Removed(long version, long atMs) {}

    /** An object of the copy that stays out of the view until a time in milliseconds. */
    private record Returned(StoredObject object, long untilMs) {}

    private final LinkedHashMap<String, Removed> mRemoved = new LinkedHashMap<>();
    private final Map<String, Returned> mReturned = new HashMap<>();
    private final Map<String, Long> mLostUntilMs = new HashMap<>();

    /** Records that an object was removed from the view. */
    void onRemoved(long nowMs, StoredObject object) {
        mLostUntilMs.remove(object.key());
        mRemoved.remove(object.key());
        mRemoved.put(object.key(), new Removed(object.version(), nowMs));
        Iterator<Removed> eldest = mRemoved.values().iterator();
        while (eldest.hasNext() && nowMs - eldest.next().atMs() > MAX_COPY_AGE_MS) {
            eldest.remove();
        }
    }

    /** Records that an object of the view was written. */
    void onWritten(String key) {
        mLostUntilMs.remove(key);
        mRemoved.remove(key);
    }

    /** Returns whether a change of an object that is not in the view is to stay out of it. */
    boolean isWithheld(long nowMs, Change change) {
        Returned returned = mReturned.get(change.key());
        if (change.value().isEmpty()) {
            mReturned.remove(change.key());
            return false;
        }
        long revision = StoreVersion.revision(change.version());
        if (returned != null) {
            boolean same = revision == StoreVersion.revision(returned.object().version());
            if (!same) {
                mReturned.remove(change.key());
            }
            return same;
        }
        Removed removed = mRemoved.get(change.key());
        boolean fromCopy =
                removed != null
                        && !StoreVersion.isSameEra(removed.version(), change.version())
                        && StoreVersion.revision(removed.version()) == revision;
        if (fromCopy) {
            StoredObject object =
                    new StoredObject(change.key(), change.value().get(), change.version());
            mReturned.put(change.key(), new Returned(object, nowMs + RETURNED_GRACE_MS));
        }
        return fromCopy;
    }

    /** Records that the store has lost an object. */
    void onLost(long nowMs, String key) {
        mLostUntilMs.putIfAbsent(key, nowMs + LOST_GRACE_MS);
    }

    /** Drops the withheld objects that a complete list of keys lacks. */
    void retainKeys(Set<String> keys) {
        mReturned.keySet().retainAll(keys);
    }

    /** Returns and forgets the keys of lost objects whose grace is over. */
    List<String> takeLost(long nowMs) {
        List<String> due = new ArrayList<>();
        mLostUntilMs.forEach(
                (key, untilMs) -> {
                    if (nowMs >= untilMs) {
                        due.add(key);
                    }
                });
        due.forEach(mLostUntilMs::remove);
        return due;
    }

    /** Returns and forgets the withheld objects whose grace is over. */
    List<StoredObject> takeReturned(long nowMs) {
        List<StoredObject> due =
                mReturned.values().stream()
                        .filter(r -> nowMs >= r.untilMs())
                        .map(Returned::object)
                        .toList();
        due.forEach(o -> mReturned.remove(o.key()));
        due.forEach(o -> mRemoved.remove(o.key()));
        return due;
    }
}
