package org.hornbeampass.coordination.service;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Broadcasts updates to all VMs along the {@link BroadcastPaths}, which load reports use too.
 *
 * <p>Each VM sends its own updates; a relay forwards only items that are new to it, so that no item
 * circulates forever. Each item is sent {@link #SENDS_PER_ITEM} times unless stated otherwise,
 * since messages may be lost. Nothing is sent while there are no updates. Confined to one thread.
 *
 * @param <T> an item, which identifies what was updated
 */
public final class BroadcastQueue<T> {
    /** Sends items to other VMs. */
    @FunctionalInterface
    public interface Sender<T> {
        /**
         * Sends items to the given VMs.
         *
         * @param nowMs the present time in milliseconds
         * @param vms their names
         * @param items the items
         */
        void send(long nowMs, List<String> vms, List<T> items);
    }

    /** The interval between repeated sends, in milliseconds. */
    private static final long REPEAT_INTERVAL_MS = 500;

    /** How many times each item is sent, the first send included. */
    private static final int SENDS_PER_ITEM = 6;

    private final Supplier<BroadcastPaths> mPaths;
    private final Sender<T> mSender;
    private final int mSendsPerItem;

    /** New items of this VM or its failure domain, for all other VMs. */
    private final Set<T> mNewForAll = new LinkedHashSet<>();

    /** New items of other failure domains, for the VMs of this failure domain. */
    private final Set<T> mNewForOwnDomain = new LinkedHashSet<>();

    /** The number of sends that remain for each item. */
    private final Map<T, Integer> mRemainingSends = new LinkedHashMap<>();

    private long mNextRepeatMs;

    /**
     * Creates an empty queue.
     *
     * @param paths provides the current recipients
     * @param sender sends the messages
     */
    public BroadcastQueue(Supplier<BroadcastPaths> paths, Sender<T> sender) {
        this(paths, sender, SENDS_PER_ITEM);
    }

    /**
     * Creates an empty queue.
     *
     * @param paths provides the current recipients
     * @param sender sends the messages
     * @param sendsPerItem how many times each item is sent, the first send included
     */
    public BroadcastQueue(Supplier<BroadcastPaths> paths, Sender<T> sender, int sendsPerItem) {
        mPaths = paths;
        mSender = sender;
        mSendsPerItem = sendsPerItem;
    }

    /** Adds an item that originates on this VM. */
    public void add(T item) {
        mNewForAll.add(item);
    }

    /**
     * Adds items received from another VM; only a relay forwards them.
     *
     * @param from its name
     * @param items the items that were new to this VM
     */
    public void onReceived(String from, Collection<T> items) {
        BroadcastPaths paths = mPaths.get();
        if (paths.isRelay()) {
            (paths.otherRelays().contains(from) ? mNewForOwnDomain : mNewForAll).addAll(items);
        }
    }

    /**
     * Returns whether the next {@link #tick} repeats items; callers then add those that must be
     * sent for as long as they hold.
     */
    public boolean isRepeatDue(long nowMs) {
        return nowMs >= mNextRepeatMs;
    }

    /** Sends new items, and repeats earlier ones when that is due. */
    public void tick(long nowMs) {
        Set<T> toAll = new LinkedHashSet<>(mNewForAll);
        if (isRepeatDue(nowMs)) {
            mNextRepeatMs = nowMs + REPEAT_INTERVAL_MS;
            toAll.addAll(mRemainingSends.keySet());
            mRemainingSends.replaceAll((item, left) -> left - 1);
            mRemainingSends.values().removeIf(left -> left <= 0);
        }
        if (mSendsPerItem > 1) {
            mNewForAll.forEach(item -> mRemainingSends.put(item, mSendsPerItem - 1));
            mNewForOwnDomain.forEach(item -> mRemainingSends.put(item, mSendsPerItem - 1));
        }
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
