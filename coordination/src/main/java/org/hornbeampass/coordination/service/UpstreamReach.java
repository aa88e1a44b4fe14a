package org.hornbeampass.coordination.service;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Decides to which services this VM has lost its links, from the outcomes of the connections that
 * it opens.
 *
 * <p>Invariants: the links to a service are lost only after connections to several of its upstreams
 * failed with none opened in between, and until one opens or none is left. Says nothing about the
 * upstreams themselves. Confined to one thread.
 */
public final class UpstreamReach {
    /** The number of different upstreams that must be unreachable, unless there are fewer. */
    private static final int MIN_UNREACHABLE = 3;

    private final Map<String, LinkEvidence> mServices = new HashMap<>();
    private final LinkEvidence mAll = new LinkEvidence();
    private final List<LinkListener> mListeners = new ArrayList<>();
    private long mOpenedMs = Long.MIN_VALUE;

    /** Receives the outcome of each connection. */
    public interface LinkListener {
        /**
         * Called when a connection has opened.
         *
         * @param nowMs the present time in milliseconds
         * @param wasCutOff whether this VM reached no upstream until then
         */
        void onOpened(long nowMs, boolean wasCutOff);

        /**
         * Called when a connection could not be opened.
         *
         * @param nowMs the present time in milliseconds
         * @param address the upstream's address
         */
        void onUnreachable(long nowMs, String address);
    }

    /** Adds a listener for connections. */
    public void addLinkListener(LinkListener listener) {
        mListeners.add(listener);
    }

    /** Returns whether the links to a service are lost. */
    public boolean isLost(String service) {
        return lostSinceMs(service).isPresent();
    }

    /**
     * Returns since when the links to a service are lost, in milliseconds; empty if they are not.
     */
    public OptionalLong lostSinceMs(String service) {
        return Optional.ofNullable(mServices.get(service))
                .map(LinkEvidence::lostSinceMs)
                .orElseGet(OptionalLong::empty);
    }

    /** Returns the services to which the links are lost. */
    public Set<String> lostServices() {
        return mServices.entrySet().stream()
                .filter(e -> e.getValue().lostSinceMs().isPresent())
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    /** Returns whether this VM reaches no upstream of any service. */
    public boolean isCutOff() {
        return mAll.lostSinceMs().isPresent();
    }

    /**
     * Returns whether a connection to any upstream has opened since a time.
     *
     * @param sinceMs the time in milliseconds
     */
    public boolean hasOpenedSince(long sinceMs) {
        return mOpenedMs >= sinceMs;
    }

    /** Records that a new connection to an upstream of a service opened. */
    public void onOpened(long nowMs, String service) {
        boolean wasCutOff = isCutOff();
        mOpenedMs = nowMs;
        mAll.onOpened();
        evidence(service).onOpened();
        mListeners.forEach(l -> l.onOpened(nowMs, wasCutOff));
    }

    /**
     * Records that a connection to an upstream could not be opened.
     *
     * @param nowMs the present time in milliseconds
     * @param service the upstream's service
     * @param address the upstream's address
     * @param upstreams the number of upstreams of the service, this one included
     */
    public void onUnreachable(long nowMs, String service, String address, int upstreams) {
        mAll.onFailed(nowMs, address, MIN_UNREACHABLE);
        evidence(service).onFailed(nowMs, address, Math.min(MIN_UNREACHABLE, upstreams));
        mListeners.forEach(l -> l.onUnreachable(nowMs, address));
    }

    /** Records that a service has no upstream left that could be reached. */
    public void onNoUpstreams(String service) {
        mServices.remove(service);
    }

    private LinkEvidence evidence(String service) {
        return mServices.computeIfAbsent(service, s -> new LinkEvidence());
    }
}
