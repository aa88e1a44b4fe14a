package org.hornbeampass.coordination.service;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

import java.util.List;
import java.util.OptionalDouble;

/**
 * Tells other VMs what upstreams said of themselves in their answers.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param items one for each incarnation
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record SignalReport(List<Item> items) implements PeerMessage {
    /**
     * By how much a message may be late, in milliseconds. The receiver takes requests to have been
     * sent that much earlier, so that a message that was late makes no limit obsolete.
     */
    static final long MAX_MESSAGE_DELAY_MS = 200;

    private static final double NO_LIMIT = -1;
    private static final long UNKNOWN = -1;

    /**
     * The signals of one incarnation. Times are told as ages, since clocks of VMs differ.
     *
     * @param upstream the incarnation
     * @param leaving whether it leaves
     * @param perSecond its rate limit in requests a second; -1 where it names none
     * @param askedAgoMs how long ago the request was sent whose answer told the limit, in
     *     milliseconds; -1 where nothing is known of it
     * @param heardAgoMs how long ago the answer came
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    public record Item(
            UpstreamIncarnation upstream,
            boolean leaving,
            double perSecond,
            long askedAgoMs,
            long heardAgoMs) {
        /** Tells what is known of an incarnation. */
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

        /** Returns the signals by the receiver's clock. */
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
