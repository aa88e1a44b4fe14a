package org.hornbeampass.router.upstream;

import org.hornbeampass.coordination.limit.AnswerKind;
import org.hornbeampass.coordination.limit.AttemptOutcome;
import org.hornbeampass.coordination.routing.UpstreamChoice;
import org.hornbeampass.protocol.openai.ChatChunk;
import org.hornbeampass.protocol.openai.ChatChunkReader;
import org.hornbeampass.protocol.openai.SseReader;
import org.hornbeampass.router.flow.AttemptListener;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.Optional;

/**
 * One attempt at a streamed chat completion.
 *
 * <p>An answer that is not a stream of events, or goes on at another token than it was asked to, is
 * a failure. Same threads as {@link HttpAttempt}.
 */
final class ChatStreamAttempt extends HttpAttempt {
    private static final byte[] DONE = "[DONE]".getBytes(StandardCharsets.UTF_8);

    private final SseReader mEvents;
    private final long mResumeOffset;
    private boolean mIsStream;

    /**
     * Makes an attempt.
     *
     * @param resumeOffset the token at which the answer goes on; 0 for its start
     */
    ChatStreamAttempt(
            AttemptContext calls,
            UpstreamChoice choice,
            int number,
            AttemptListener listener,
            long resumeOffset) {
        super(calls, choice, number, listener, AnswerKind.STREAM);
        mResumeOffset = resumeOffset;
        mEvents = new SseReader(calls.settings().maxEventBytes(), this::onEvent);
    }

    @Override
    public void onHead(int status, Map<String, String> headers) {
        super.onHead(status, headers);
        String type = headers.getOrDefault("content-type", "");
        mIsStream = status == 200 && type.startsWith("text/event-stream");
        String offset = headers.getOrDefault(UpstreamHeaders.RESUME_OFFSET, "0");
        if (mIsStream && !offset.equals(Long.toString(mResumeOffset))) {
            fault(
                    AttemptOutcome.UPSTREAM_ERROR,
                    "it went on at token " + offset + " in place of " + mResumeOffset);
            close();
        }
    }

    @Override
    public void onData(byte[] chunk) {
        if (!mIsStream) {
            super.onData(chunk);
            return;
        }
        if (!mEvents.read(chunk)) {
            fault(AttemptOutcome.UPSTREAM_ERROR, "an event of its answer is too large");
            close();
        }
    }

    @Override
    public void onEnd() {
        if (!mIsStream) {
            endNotStreamed();
            return;
        }
        fault(AttemptOutcome.BROKEN_IN_ANSWER, "its answer ended without the closing event");
    }

    private void endNotStreamed() {
        if (outcome(status(), false) == AttemptOutcome.SUCCEEDED) {
            fault(AttemptOutcome.UPSTREAM_ERROR, "its answer is not a stream of events");
        } else {
            super.onEnd();
        }
    }

    private void onEvent(byte[] data) {
        if (ended()) {
            return;
        }
        if (Arrays.equals(data, DONE)) {
            long nowMs = nowMs();
            if (end(nowMs, AttemptOutcome.SUCCEEDED)) {
                listener().onStreamDone(nowMs, number());
            }
            return;
        }
        Optional<ChatChunk> chunk = ChatChunkReader.read(data);
        if (chunk.isEmpty()) {
            fault(AttemptOutcome.UPSTREAM_ERROR, "an event of its answer is no chunk");
            close();
            return;
        }
        notePart();
        listener().onChunk(nowMs(), number(), chunk.get());
    }
}
