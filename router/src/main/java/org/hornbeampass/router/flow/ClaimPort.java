package org.hornbeampass.router.flow;

import java.util.function.BiConsumer;
import java.util.function.LongConsumer;

/**
 * The claim of one call that may not be repeated, as its flow sees it.
 *
 * <p>Replies may come on any thread, also before the method returns.
 */
public interface ClaimPort {
    /**
     * Claims the call's id durably.
     *
     * @param nowMs the present time in milliseconds
     * @param onReply told exactly once the time and what came of it
     */
    void claim(long nowMs, BiConsumer<Long, ClaimResult> onReply);

    /** Gives up a claim under which no byte was sent, so that a retry may run. */
    void release(long nowMs);

    /**
     * Records the call's answer, for retries with the same id.
     *
     * @param nowMs the present time in milliseconds
     * @param answer the answer
     * @param onReply told the time once the record is durable, or a bound has passed
     */
    void record(long nowMs, UpstreamAnswer answer, LongConsumer onReply);
}
