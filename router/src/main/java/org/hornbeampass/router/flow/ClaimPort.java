package org.hornbeampass.router.flow;

import java.util.function.BiConsumer;
import java.util.function.LongConsumer;

/**
 * Gives one call's flow access to the claim of the call, which must not run twice.
 *
 * <p>The reply callback may be invoked on any thread, possibly before the method returns.
 */
public interface ClaimPort {
    /**
     * Claims the call's id durably before the call is sent.
     *
     * @param nowMs the present time in milliseconds
     * @param onReply called exactly once with the time and the result
     */
    void claim(long nowMs, BiConsumer<Long, ClaimResult> onReply);

    /** Releases a claim under which no byte was sent, so that a retry may run the call. */
    void release(long nowMs);

    /**
     * Records the call's answer so that retries with the same id receive it.
     *
     * @param nowMs the present time in milliseconds
     * @param answer the answer to record
     * @param onReply called with the time once the record is durable or the wait for it times out
     */
    void record(long nowMs, UpstreamAnswer answer, LongConsumer onReply);
}
