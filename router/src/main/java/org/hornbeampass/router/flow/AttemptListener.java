package org.hornbeampass.router.flow;

import org.hornbeampass.protocol.openai.ChatChunk;

/**
 * Receives the events of attempts; each call carries the attempt's number.
 *
 * <p>Implementations are thread-safe and ignore events of abandoned attempts.
 */
public interface AttemptListener {
    /** Receives a chunk of a streamed answer. */
    void onChunk(long nowMs, int number, ChatChunk chunk);

    /** Receives the closing event of a streamed answer. */
    void onStreamDone(long nowMs, int number);

    /** Receives an answer that is not streamed. */
    void onFullAnswer(long nowMs, int number, UpstreamAnswer answer);

    /** Receives the upstream's answer that rejects the request itself as invalid. */
    void onRejected(long nowMs, int number, UpstreamAnswer answer);

    /** Receives the failure of the attempt. */
    void onFault(long nowMs, int number, AttemptFault fault);
}
