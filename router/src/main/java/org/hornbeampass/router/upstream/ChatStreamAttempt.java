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
 * <p>An answer that is not an event stream, or that resumes at a different token than requested, is
 * a failure. The same threads as for {@link HttpAttempt} apply.
 */
final class ChatStreamAttempt extends HttpAttempt {
    private static final byte[] DONE = "[DONE]".getBytes(StandardCharsets.UTF_8);

    private final SseReader mEvents;
    private final long mResumeOffset;
    private boolean mIsStream;

    /**
     * Creates an attempt.
     *
     * @param resumeOffset the index of the token at which the answer resumes; 0 for its start
     */
    ChatStreamAttempt(
            AttemptContext context,
            UpstreamChoice choice,
            int number,
            AttemptListener listener,
            long resumeOffset) {
        super(context, choice, number, listener, AnswerKind.STREAM);
        mResumeOffset = resumeOffset;
        mEvents = new SseReader(context.settings().maxEventBytes(), this::onEvent);
    }

    @Override
    public void onHead(int status, Map<String, String> headers) {
        super.onHead(status, headers);
        String type = headers.getOrDefault("content-type", "");
        mIsStream = status == 200 && type.startsWith("text/event-stream");
        String offset = headers.getOrDefault(UpstreamHeaders.RESUME_OFFSET, "0");
        if (mIsStream && !offset.equals(Long.toString(mResumeOffset))) {
            fail(
                    AttemptOutcome.UPSTREAM_ERROR,
                    "it resumed at token " + offset + " instead of " + mResumeOffset);
            closeConnection();
        }
    }

    @Override
    public void onData(byte[] chunk) {
        if (!mIsStream) {
            super.onData(chunk);
            return;
        }
        if (!mEvents.read(chunk)) {
            fail(AttemptOutcome.UPSTREAM_ERROR, "an event of the answer is too large");
            closeConnection();
        }
    }

    @Override
    public void onEnd() {
        if (!mIsStream) {
            endNotStreamed();
            return;
        }
        fail(AttemptOutcome.BROKEN_IN_ANSWER, "the answer ended without the final event");
    }

    private void endNotStreamed() {
        if (outcomeOf(status(), false) == AttemptOutcome.SUCCEEDED) {
            fail(AttemptOutcome.UPSTREAM_ERROR, "the answer is not an event stream");
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
            if (tryEnd(nowMs, AttemptOutcome.SUCCEEDED)) {
                listener().onStreamDone(nowMs, number());
            }
            return;
        }
        Optional<ChatChunk> chunk = ChatChunkReader.read(data);
        if (chunk.isEmpty()) {
            fail(AttemptOutcome.UPSTREAM_ERROR, "an event of the answer is not a valid chunk");
            closeConnection();
            return;
        }
        recordPart();
        listener().onChunk(nowMs(), number(), chunk.get());
    }
}
