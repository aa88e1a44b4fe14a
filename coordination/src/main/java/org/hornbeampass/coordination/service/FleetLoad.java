package org.hornbeampass.coordination.service;

import java.util.HashMap;
import java.util.Map;

/**
 * What the other VMs have in progress at each upstream, as they last told.
 *
 * <p>Invariant: a report counts until the next one of the same VM, or until it is {@link #FRESH_MS}
 * old. Confined to one thread.
 */
public final class FleetLoad {
    /**
     * How long a report counts, in milliseconds. Prompts are read within some hundred; a VM that is
     * not heard for longer is cut off or gone, and its share is unknown.
     */
    static final long FRESH_MS = 1_000;

    /** No work of other VMs. */
    private static final Work NONE = new Work(0, 0);

    /**
     * Work in progress at one upstream.
     *
     * @param unreadTokens prompt tokens that are still to be read
     * @param requests requests that are worked on
     */
    record Work(long unreadTokens, int requests) {
        Work plus(Work other) {
            return new Work(unreadTokens + other.unreadTokens, requests + other.requests);
        }
    }

    /**
     * The last report of one VM.
     *
     * @param atMs when it came, in milliseconds
     * @param report what it said
     */
    private record Told(long atMs, InFlightReport report) {}

    private final Map<String, Told> mByVm = new HashMap<>();
    private final Map<String, Work> mByUpstream = new HashMap<>();

    /** Takes a VM's report. */
    public void onReport(long nowMs, String vm, InFlightReport report) {
        mByVm.put(vm, new Told(nowMs, report));
        addUp();
    }

    /** Forgets reports that no longer count. */
    void tick(long nowMs) {
        if (mByVm.values().removeIf(t -> nowMs - t.atMs() >= FRESH_MS)) {
            addUp();
        }
    }

    /** Returns how many VMs were heard of late. */
    int vmsHeard() {
        return mByVm.size();
    }

    /** Returns the other VMs' work at an upstream. */
    Work at(String upstream) {
        return mByUpstream.getOrDefault(upstream, NONE);
    }

    private void addUp() {
        mByUpstream.clear();
        for (Told told : mByVm.values()) {
            for (InFlightReport.Item item : told.report().items()) {
                mByUpstream.merge(
                        item.upstream(),
                        new Work(item.unreadTokens(), item.requests()),
                        Work::plus);
            }
        }
    }
}
