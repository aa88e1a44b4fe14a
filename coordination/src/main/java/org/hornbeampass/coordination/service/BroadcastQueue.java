package org.hornbeampass.coordination.service;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Spreads news over the fleet along the paths of the load reports.
 *
 * <p>Each VM tells what it found out; relays pass on what is new to them, so that no item goes in a
 * circle. All is told {@link #TIMES} times, since a message may be lost. Nothing is sent where
 * there is no news. Confined to one thread.
 *
 * @param <T> an item of news, which names what is told
 */
public final class BroadcastQueue<T> {
    /** Sends news to other VMs. */
    @FunctionalInterface
    public interface Sender<T> {
        /**
         * Tells some VMs.
         *
         * @param nowMs the present time in milliseconds
         * @param vms their names
         * @param items the news
         */
        void send(long nowMs, List<String> vms, List<T> items);
    }

    /** After what time news are told again, in milliseconds. */
    private static final long REPEAT_MS = 500;

    /** How often each item is told. */
    private static final int TIMES = 6;

    private final Supplier<BroadcastPaths> mPaths;
    private final Sender<T> mTeller;

    /** News of this VM or its failure domain, for all others. */
    private final Set<T> mNews = new LinkedHashSet<>();

    /** News of other failure domains, for this VM's own. */
    private final Set<T> mFarNews = new LinkedHashSet<>();

    /** How often each item is to be told still. */
    private final Map<T, Integer> mToRepeat = new LinkedHashMap<>();

    private long mNextRepeatMs;

    /**
     * Makes an empty list of news.
     *
     * @param paths gives whom to tell now
     * @param teller sends the messages
     */
    public BroadcastQueue(Supplier<BroadcastPaths> paths, Sender<T> teller) {
        mPaths = paths;
        mTeller = teller;
    }

    /** Adds what this VM found out. */
    public void add(T item) {
        mNews.add(item);
    }

    /**
     * Adds what another VM told.
     *
     * @param from its name
     * @param items what was new to this VM
     */
    public void onReceived(String from, Collection<T> items) {
        BroadcastPaths paths = mPaths.get();
        if (paths.isRelay()) {
            (paths.otherRelays().contains(from) ? mFarNews : mNews).addAll(items);
        }
    }

    /**
     * Returns whether the next {@link #tick} tells news again; then is the time to add lasting
     * ones.
     */
    public boolean isRepeatDue(long nowMs) {
        return nowMs >= mNextRepeatMs;
    }

    /** Tells what is new. */
    public void tick(long nowMs) {
        Set<T> toAll = new LinkedHashSet<>(mNews);
        if (isRepeatDue(nowMs)) {
            mNextRepeatMs = nowMs + REPEAT_MS;
            toAll.addAll(mToRepeat.keySet());
            mToRepeat.replaceAll((item, left) -> left - 1);
            mToRepeat.values().removeIf(left -> left <= 0);
        }
        mNews.forEach(item -> mToRepeat.put(item, TIMES - 1));
        mFarNews.forEach(item -> mToRepeat.put(item, TIMES - 1));
        if (!toAll.isEmpty()) {
            mTeller.send(nowMs, mPaths.get().broadcastTargets(), List.copyOf(toAll));
        }
        if (!mFarNews.isEmpty()) {
            mTeller.send(nowMs, mPaths.get().directPeers(), List.copyOf(mFarNews));
        }
        mNews.clear();
        mFarNews.clear();
    }
}
