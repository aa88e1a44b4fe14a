package org.hornbeampass.standin.engine;

import org.hornbeampass.transport.http.HttpExchange;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The answer to one completion on its way to the caller, streamed or collected.
 *
 * <p>Invariant: a streamed answer's head goes out with its first token. Not thread-safe.
 */
final class AnswerStream {
    private static final int OK = 200;
    private static final Map<String, String> EVENT_STREAM =
            Map.of("content-type", "text/event-stream", "cache-control", "no-cache");
    private static final Map<String, String> JSON = Map.of("content-type", "application/json");

    private final HttpExchange mExchange;
    private final EngineJob mJob;
    private final ChatBodies.Head mHead;
    private final ChatRequest mRequest;
    private final OptionalLong mDropAfter;
    private final StringBuilder mText = new StringBuilder();
    private boolean mStarted;
    private int mGenerated;

    AnswerStream(
            HttpExchange exchange,
            EngineJob job,
            ChatBodies.Head head,
            ChatRequest request,
            OptionalLong dropAfter) {
        mExchange = exchange;
        mJob = job;
        mHead = head;
        mRequest = request;
        mDropAfter = dropAfter;
    }

    EngineJob job() {
        return mJob;
    }

    int generated() {
        return mGenerated;
    }

    /** Sends or collects a token; returns whether a fault now breaks the answer off. */
    boolean token(int offset) {
        mGenerated++;
        String text = AnswerText.token(mJob.answer().tag(), offset);
        if (mRequest.stream()) {
            boolean first = !mStarted;
            start();
            mExchange.write(ChatBodies.token(mHead, text, first));
        } else {
            mText.append(text);
        }
        return mDropAfter.isPresent() && mGenerated >= mDropAfter.getAsLong();
    }

    /** Ends the answer as whole. */
    void finish() {
        int end = mJob.answer().end();
        ChatBodies.Usage usage = ChatBodies.Usage.of(mJob.prompt().tokens(), end);
        if (!mRequest.stream()) {
            byte[] body = ChatBodies.whole(mHead, mText.toString(), mJob.finishReason(), usage);
            mExchange.respond(OK, JSON, body);
            return;
        }
        start();
        mExchange.write(ChatBodies.finish(mHead, mJob.finishReason()));
        if (mRequest.includeUsage()) {
            mExchange.write(ChatBodies.usage(mHead, usage));
        }
        mExchange.write(ChatBodies.done());
        mExchange.end();
    }

    /** Returns the stream's headers, which confirm the offset at which a resumed one goes on. */
    private Map<String, String> streamHeaders() {
        int from = mJob.answer().from();
        if (from == 0) {
            return EVENT_STREAM;
        }
        Map<String, String> headers = new HashMap<>(EVENT_STREAM);
        headers.put(EngineHeaders.RESUME_OFFSET, Integer.toString(from));
        return headers;
    }

    /** Breaks the answer off. */
    void abort() {
        mExchange.abort();
    }

    private void start() {
        if (!mStarted) {
            mStarted = true;
            mExchange.startStream(OK, streamHeaders());
        }
    }
}
