package org.hornbeampass.router.front;

import org.hornbeampass.protocol.openai.ChatLimits;

/**
 * Bounds on what callers may send, and the deadlines of their requests.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param chat bounds on chat completion bodies
 * @param defaultDeadlineMs the time from arrival to deadline if a request sets none, in
 *     milliseconds
 * @param maxDeadlineMs the longest time to its deadline that a request may set, in milliseconds
 */
public record RequestLimits(ChatLimits chat, long defaultDeadlineMs, long maxDeadlineMs) {
    /** Returns bounds that suit long documents and long answers. */
    public static RequestLimits defaults() {
        return new RequestLimits(ChatLimits.defaults(), 300_000, 3_600_000);
    }
}
