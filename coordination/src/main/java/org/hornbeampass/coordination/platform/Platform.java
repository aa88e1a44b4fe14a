package org.hornbeampass.coordination.platform;

import java.util.function.BiConsumer;

/**
 * The platform's object API, with versions, conditional updates and watches; the platform counts
 * each call.
 *
 * <p>Implementations are thread-safe. A write that is answered {@link PlatformReply.Unavailable}
 * may or may not have taken effect; with any other reply this is known. A call that can't be made,
 * such as one with a name that can't be encoded, is answered so, too: calls are often started
 * inside the reply to another, whose caller can't handle an exception.
 */
public interface Platform {
    /**
     * Starts a call.
     *
     * @param nowMs the present time in milliseconds
     * @param call the call
     * @param done is run exactly once with the time of the reply in milliseconds and the reply; on
     *     any thread, possibly before this method returns, and without a lock of the platform held
     */
    void submit(long nowMs, PlatformCall call, BiConsumer<Long, PlatformReply> done);

    /**
     * Starts a call and reports the progress of its answer.
     *
     * @param nowMs the present time in milliseconds
     * @param call the call
     * @param progress receives each part of the answer, if the platform supports it
     * @param done is run as in {@link #submit(long, PlatformCall, BiConsumer)}
     * @return cancels the call, if the platform supports it: releases its resources and ignores its
     *     answer; a write may still have taken effect
     */
    default Runnable submit(
            long nowMs,
            PlatformCall call,
            AnswerProgress progress,
            BiConsumer<Long, PlatformReply> done) {
        submit(nowMs, call, done);
        return () -> {};
    }
}
