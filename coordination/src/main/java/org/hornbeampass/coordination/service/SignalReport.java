package org.hornbeampass.coordination.service;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

import java.util.List;
import java.util.OptionalDouble;

/**
 * A message that shares the signals of upstreams' answers with other VMs.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param items one for each incarnation
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record SignalReport(List<Item> items) implements PeerMessage {
    /**
     * The largest assumed delay of a message, in milliseconds. The receiver dates requests back by
     * this time, so that a delayed message never replaces a limit that is still valid.
     */
    static final long MAX_MESSAGE_DELAY_MS = 200;

    private static final double NO_LIMIT = -1;
    private static final long UNKNOWN = -1;

    /**
     * The signals of one incarnation. Times are sent as ages, since the clocks of VMs differ.
     *
     * @param upstream the incarnation
     * @param leaving whether it is leaving
     * @param perSecond its rate limit in requests a second; -1 where it states none
     * @param askedAgoMs how long ago the request was sent whose answer stated the limit, in
     *     milliseconds; -1 where no answer is known
     * @param heardAgoMs how long ago that answer was received, in milliseconds; -1 where no answer
     *     is known
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    public record Item(
            UpstreamIncarnation upstream,
            boolean leaving,
            double perSecond,
            long askedAgoMs,
            long heardAgoMs) {
        /** Returns the report of an incarnation's signals. */
        public static Item of(long nowMs, UpstreamIncarnation upstream, UpstreamSignals signals) {
            RateLimit limit = signals.rateLimit();
            boolean known = limit.known();
            return new Item(
                    upstream,
                    signals.leaving(),
                    limit.perSecond().orElse(NO_LIMIT),
                    known ? Math.max(0, nowMs - limit.requestSentMs()) : UNKNOWN,
                    known ? Math.max(0, nowMs - limit.answeredMs()) : UNKNOWN);
        }

        /** Returns the signals with times by the receiver's clock. */
        UpstreamSignals signals(long nowMs) {
            return new UpstreamSignals(leaving, rateLimit(nowMs));
        }

        private RateLimit rateLimit(long nowMs) {
            if (askedAgoMs < 0 || heardAgoMs < 0) {
                return RateLimit.UNKNOWN;
            }
            OptionalDouble limit =
                    perSecond < 0 ? OptionalDouble.empty() : OptionalDouble.of(perSecond);
            return new RateLimit(
                    limit, nowMs - askedAgoMs - MAX_MESSAGE_DELAY_MS, nowMs - heardAgoMs);
        }
    }

    /** Copies the list. */
    public SignalReport {
        items = List.copyOf(items);
    }
}
