package org.hornbeampass.coordination.platform;

import org.hornbeampass.coordination.platform.PlatformReply.Change;
import org.hornbeampass.coordination.platform.PlatformReply.StoredObject;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/**
 * An in-memory platform for embedding, stand-ins and tests.
 *
 * <p>Invariants: revisions increase by one with each write, and go back only when the platform is
 * restored from a copy, which begins a new era; like a store that compares revisions alone, it does
 * not notice a version of a former era. At most {@value #MAX_HISTORY} changes are kept for watches.
 * A watch is answered at once if there are changes; otherwise it is held until a write below its
 * prefix or until {@link #expireWatches} is called after its time. Thread-safe: one lock guards all
 * state, and callbacks are run after it is released.
 */
public final class MemoryPlatform implements Platform {
    private static final int MAX_HISTORY = 100_000;

    private final Object mLock = new Object();

    /** The objects, with their revisions in place of versions, like {@link #mHistory}. */
    private final TreeMap<String, StoredObject> mObjects = new TreeMap<>();

    private final Deque<Change> mHistory = new ArrayDeque<>();
    private final List<PendingWatch> mWatches = new ArrayList<>();
    private long mRevision;
    private long mDiscardedUpToRevision;
    private long mEra;

    /** Creates an empty platform that states no era until it is restored. */
    public MemoryPlatform() {
        this(0);
    }

    /** Creates an empty platform in an era. */
    public MemoryPlatform(long era) {
        mEra = era;
    }

    /**
     * The objects of a platform at a point in time. Immutable.
     *
     * @param objects the objects by their keys
     * @param revision the platform's revision
     */
    public record Copy(Map<String, StoredObject> objects, long revision) {
        /** Copies the objects. */
        public Copy {
            objects = Map.copyOf(objects);
        }
    }

    /** A watch that waits for a change. */
    private record PendingWatch(
            PlatformCall.Watch call, long deadlineMs, BiConsumer<Long, PlatformReply> done) {}

    /** A reply to deliver once the lock is released. */
    private record PendingReply(BiConsumer<Long, PlatformReply> done, PlatformReply reply) {}

    @Override
    public void submit(long nowMs, PlatformCall call, BiConsumer<Long, PlatformReply> done) {
        List<PendingReply> ready = new ArrayList<>();
        synchronized (mLock) {
            if (call instanceof PlatformCall.Watch watch) {
                startWatch(nowMs, watch, done, ready);
            } else {
                ready.add(new PendingReply(done, apply(call)));
                completeWatches(ready);
            }
        }
        ready.forEach(r -> r.done().accept(nowMs, r.reply()));
    }

    /**
     * Answers each watch whose time has passed, without changes.
     *
     * @param nowMs the present time in milliseconds
     */
    public void expireWatches(long nowMs) {
        List<PendingReply> ready = new ArrayList<>();
        synchronized (mLock) {
            Iterator<PendingWatch> each = mWatches.iterator();
            while (each.hasNext()) {
                PendingWatch watch = each.next();
                if (watch.deadlineMs() <= nowMs) {
                    each.remove();
                    ready.add(
                            new PendingReply(
                                    watch.done(),
                                    new PlatformReply.Changed(List.of(), versioned(mRevision))));
                }
            }
        }
        ready.forEach(r -> r.done().accept(nowMs, r.reply()));
    }

    /** Returns a copy of the present objects, for {@link #restore}. */
    public Copy copy() {
        synchronized (mLock) {
            return new Copy(mObjects, mRevision);
        }
    }

    /** Returns the era, which increases each time the platform is restored from a copy. */
    public long era() {
        synchronized (mLock) {
            return mEra;
        }
    }

    /**
     * Restores a copy: everything written since is lost, and the revisions since are given out
     * again. Waiting watches are cut off.
     *
     * @param nowMs the present time in milliseconds
     * @param copy the copy
     */
    public void restore(long nowMs, Copy copy) {
        List<PendingWatch> cut;
        synchronized (mLock) {
            mEra++;
            mObjects.clear();
            mObjects.putAll(copy.objects());
            mRevision = copy.revision();
            mHistory.removeIf(c -> c.version() > mRevision);
            mDiscardedUpToRevision = Math.min(mDiscardedUpToRevision, mRevision);
            cut = List.copyOf(mWatches);
            mWatches.clear();
        }
        PlatformReply reply = new PlatformReply.Unavailable("the platform was restored");
        cut.forEach(w -> w.done().accept(nowMs, reply));
    }

    private PlatformReply apply(PlatformCall call) {
        if (call instanceof PlatformCall.Get get) {
            StoredObject object = mObjects.get(get.key());
            return object == null
                    ? new PlatformReply.Missing()
                    : new PlatformReply.Found(versioned(object));
        }
        if (call instanceof PlatformCall.ListObjects list) {
            return list(list);
        }
        if (call instanceof PlatformCall.Create create) {
            return write(create.key(), Optional.of(create.value()), 0);
        }
        if (call instanceof PlatformCall.Update update) {
            return write(update.key(), Optional.of(update.value()), update.expectedVersion());
        }
        PlatformCall.Delete delete = (PlatformCall.Delete) call;
        return write(delete.key(), Optional.empty(), delete.expectedVersion());
    }

    private PlatformReply list(PlatformCall.ListObjects call) {
        String from = call.afterKey().compareTo(call.prefix()) > 0 ? call.afterKey() : "";
        Map<String, StoredObject> tail =
                from.isEmpty()
                        ? mObjects.tailMap(call.prefix(), true)
                        : mObjects.tailMap(from, false);
        List<StoredObject> page = new ArrayList<>();
        for (StoredObject object : tail.values()) {
            if (!object.key().startsWith(call.prefix())) {
                break;
            }
            if (page.size() == call.limit()) {
                return new PlatformReply.Listed(page, true, versioned(mRevision));
            }
            page.add(versioned(object));
        }
        return new PlatformReply.Listed(page, false, versioned(mRevision));
    }

    private PlatformReply write(String key, Optional<String> value, long expectedVersion) {
        StoredObject current = mObjects.get(key);
        long currentRevision = current == null ? 0 : current.version();
        if (currentRevision != StoreVersion.revision(expectedVersion)) {
            return new PlatformReply.Conflict(Optional.ofNullable(current).map(this::versioned));
        }
        mRevision++;
        if (value.isPresent()) {
            mObjects.put(key, new StoredObject(key, value.get(), mRevision));
        } else {
            mObjects.remove(key);
        }
        mHistory.addLast(new Change(key, value, mRevision));
        if (mHistory.size() > MAX_HISTORY) {
            mDiscardedUpToRevision = mHistory.removeFirst().version();
        }
        return new PlatformReply.Written(versioned(mRevision));
    }

    private long versioned(long revision) {
        return StoreVersion.of(mEra, revision);
    }

    private StoredObject versioned(StoredObject object) {
        return new StoredObject(object.key(), object.value(), versioned(object.version()));
    }

    private Change versioned(Change change) {
        return new Change(change.key(), change.value(), versioned(change.version()));
    }

    private void startWatch(
            long nowMs,
            PlatformCall.Watch watch,
            BiConsumer<Long, PlatformReply> done,
            List<PendingReply> ready) {
        Optional<PlatformReply> reply = changesSince(watch);
        if (reply.isPresent()) {
            ready.add(new PendingReply(done, reply.get()));
            return;
        }
        mWatches.add(new PendingWatch(watch, nowMs + watch.maxWait().toMillis(), done));
    }

    private void completeWatches(List<PendingReply> ready) {
        Iterator<PendingWatch> each = mWatches.iterator();
        while (each.hasNext()) {
            PendingWatch watch = each.next();
            Optional<PlatformReply> reply = changesSince(watch.call());
            if (reply.isPresent()) {
                each.remove();
                ready.add(new PendingReply(watch.done(), reply.get()));
            }
        }
    }

    private Optional<PlatformReply> changesSince(PlatformCall.Watch watch) {
        long afterRevision = StoreVersion.revision(watch.afterVersion());
        if (afterRevision > mRevision || afterRevision < mDiscardedUpToRevision) {
            return Optional.of(new PlatformReply.WatchGap());
        }
        List<Change> changes = new ArrayList<>();
        Iterator<Change> newestFirst = mHistory.descendingIterator();
        while (newestFirst.hasNext()) {
            Change change = newestFirst.next();
            if (change.version() <= afterRevision) {
                break;
            }
            if (change.key().startsWith(watch.prefix())) {
                changes.add(0, versioned(change));
            }
        }
        return changes.isEmpty()
                ? Optional.empty()
                : Optional.of(new PlatformReply.Changed(changes, versioned(mRevision)));
    }
}
