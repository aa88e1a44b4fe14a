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
 * circle. All is told {@link #SENDS_PER_ITEM} times, since a message may be lost. Nothing is sent
 * where there is no news. Confined to one thread.
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
    private static final long REPEAT_INTERVAL_MS = 500;

    /** How often each item is told. */
    private static final int SENDS_PER_ITEM = 6;

    private final Supplier<BroadcastPaths> mPaths;
    private final Sender<T> mSender;

    /** News of this VM or its failure domain, for all others. */
    private final Set<T> mNewForAll = new LinkedHashSet<>();

    /** News of other failure domains, for this VM's own. */
    private final Set<T> mNewForOwnDomain = new LinkedHashSet<>();

    /** How often each item is to be told still. */
    private final Map<T, Integer> mRemainingSends = new LinkedHashMap<>();

    private long mNextRepeatMs;

    /**
     * Makes an empty list of news.
     *
     * @param paths gives whom to tell now
     * @param sender sends the messages
     */
    public BroadcastQueue(Supplier<BroadcastPaths> paths, Sender<T> sender) {
        mPaths = paths;
        mSender = sender;
    }

    /** Adds what this VM found out. */
    public void add(T item) {
        mNewForAll.add(item);
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
            (paths.otherRelays().contains(from) ? mNewForOwnDomain : mNewForAll).addAll(items);
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
        Set<T> toAll = new LinkedHashSet<>(mNewForAll);
        if (isRepeatDue(nowMs)) {
            mNextRepeatMs = nowMs + REPEAT_INTERVAL_MS;
            toAll.addAll(mRemainingSends.keySet());
            mRemainingSends.replaceAll((item, left) -> left - 1);
            mRemainingSends.values().removeIf(left -> left <= 0);
        }
        mNewForAll.forEach(item -> mRemainingSends.put(item, SENDS_PER_ITEM - 1));
        mNewForOwnDomain.forEach(item -> mRemainingSends.put(item, SENDS_PER_ITEM - 1));
        if (!toAll.isEmpty()) {
            mSender.send(nowMs, mPaths.get().broadcastTargets(), List.copyOf(toAll));
        }
        if (!mNewForOwnDomain.isEmpty()) {
            mSender.send(nowMs, mPaths.get().directPeers(), List.copyOf(mNewForOwnDomain));
        }
        mNewForAll.clear();
        mNewForOwnDomain.clear();
    }
}
