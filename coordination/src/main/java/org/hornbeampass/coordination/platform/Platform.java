package org.hornbeampass.coordination.platform;

import java.util.function.BiConsumer;

/**
 * The platform's object API: versions, conditional updates and watches, each call counted.
 *
 * <p>Implementations are thread-safe. A write that is answered {@link PlatformReply.Unavailable}
 * may or may not have taken effect; no other reply leaves that open.
 */
public interface Platform {
    /**
     * Starts a call.
     *
     * @param nowMs the present time in milliseconds
     * @param call what to do
     * @param done run exactly once with the time of the reply in milliseconds and the reply; on any
     *     thread, also before this method returns, and with no lock of the platform held
     */
    void submit(long nowMs, PlatformCall call, BiConsumer<Long, PlatformReply> done);

    /**
     * Starts a call, and tells of its answer as it comes.
     *
     * @param nowMs the present time in milliseconds
     * @param call what to do
     * @param progress hears of each part of the answer, where the platform can tell
     * @param done as above
     * @return gives the call up, where the platform can: what it holds is free again, and its
     *     answer is not heard; a write may have taken effect
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
