package org.hornbeampass.router.flow;

import org.hornbeampass.protocol.openai.ChatChunk;

/**
 * Told of the events of attempts; each call carries the attempt's number.
 *
 * <p>Implementations are thread-safe and ignore the events of attempts that were abandoned.
 */
public interface AttemptListener {
    /** A chunk of a streamed answer has come. */
    void onChunk(long nowMs, int number, ChatChunk chunk);

    /** The closing event of a streamed answer has come. */
    void onStreamDone(long nowMs, int number);

    /** A whole answer has come. */
    void onFullAnswer(long nowMs, int number, UpstreamAnswer answer);

    /** The upstream has found fault with the request itself. */
    void onRejected(long nowMs, int number, UpstreamAnswer answer);

    /** The attempt has failed. */
    void onFault(long nowMs, int number, AttemptFault fault);
}
