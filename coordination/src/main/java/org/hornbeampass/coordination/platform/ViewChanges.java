package org.hornbeampass.coordination.platform;

import org.hornbeampass.coordination.platform.PlatformReply.Change;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * Collects the changes of a view, which are reported once its lock is released.
 *
 * <p>Invariant: each change is reported, since the view reports none again, also after one on which
 * a listener has failed. Not thread-safe.
 */
final class ViewChanges {
    /** A change, and whether it only confirms the value that is known. */
    private record Item(Change change, boolean confirmed) {}

    /** The most failures that are thrown together. */
    private static final int MAX_FAILURES = 5;

    private final List<Item> mItems = new ArrayList<>();

    void add(Change change) {
        mItems.add(new Item(change, false));
    }

    void addConfirmed(Change change) {
        mItems.add(new Item(change, true));
    }

    /**
     * Reports the changes in their order, each to one of two listeners; throws what the listeners
     * have thrown once all are reported.
     */
    void report(
            long nowMs, BiConsumer<Long, Change> onChange, BiConsumer<Long, Change> onConfirmed) {
        List<RuntimeException> failures = new ArrayList<>();
        for (Item item : mItems) {
            try {
                (item.confirmed() ? onConfirmed : onChange).accept(nowMs, item.change());
            } catch (RuntimeException e) {
                failures.add(e);
            }
        }
        if (!failures.isEmpty()) {
            RuntimeException first = failures.get(0);
            failures.subList(1, Math.min(failures.size(), MAX_FAILURES))
                    .forEach(first::addSuppressed);
            throw first;
        }
    }
}
