package org.hornbeampass.experiment.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.hornbeampass.transport.http.HttpClient;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.DoubleConsumer;
import java.util.function.LongSupplier;

/**
 * Collects the answer to one try, streamed or not, into a receipt.
 *
 * <p>Called by one event loop at a time, as the client promises; the receipt is given on once.
 */
final class ChatTry implements HttpClient.Listener {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final double NANOS_PER_MS = 1e6;
    private static final String DONE = "[DONE]";

    private final CallerRequest mRequest;
    private final String mRouter;
    private final long mDueNanos;
    private final LongSupplier mNanoTime;
    private final DoubleConsumer mOnGap;
    private final Consumer<ChatReceipt> mOnReceipt;
    private final StringBuilder mText = new StringBuilder();
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private final SseParser mEvents = new SseParser(this::onEvent);
    private Optional<ChatReceipt.Usage> mUsage = Optional.empty();
    private Optional<String> mErrorCode = Optional.empty();
    private String mRunState = "";
    private boolean mRetryable = true;
    private long mRetryAfterMs;
    private int mStatus;
    private boolean mStreamed;
    private boolean mDone;
    private double mFirstTokenMs = -1;
    private double mLastTokenMs = -1;
    private boolean mSent = true;

    ChatTry(
            CallerRequest request,
            String router,
            long dueNanos,
            LongSupplier nanoTime,
            DoubleConsumer onGap,
            Consumer<ChatReceipt> onReceipt) {
        mRequest = request;
        mRouter = router;
        mDueNanos = dueNanos;
        mNanoTime = nanoTime;
        mOnGap = onGap;
        mOnReceipt = onReceipt;
    }

    @Override
    public void onHead(int status, Map<String, String> headers) {
        mStatus = status;
        mStreamed = headers.getOrDefault("content-type", "").startsWith("text/event-stream");
        mRetryAfterMs = Long.parseLong(headers.getOrDefault("retry-after-ms", "0"));
    }

    @Override
    public void onData(byte[] chunk) {
        if (mStreamed) {
            mEvents.accept(chunk);
        } else {
            mBody.writeBytes(chunk);
        }
    }

    @Override
    public void onEnd() {
        if (!mStreamed) {
            onWholeBody(mBody.toString(StandardCharsets.UTF_8));
        }
        complete(mStreamed ? mDone : mStatus / 100 == 2);
    }

    @Override
    public void onFailure(boolean sent, String reason) {
        mErrorCode = mErrorCode.or(() -> Optional.of("connection_lost"));
        mSent = sent || mStatus != 0;
        complete(false);
    }

    private void onEvent(String data) {
        if (DONE.equals(data)) {
            mDone = true;
            return;
        }
        JsonNode event = parse(data);
        if (event.has("error")) {
            onError(event.get("error"));
            return;
        }
        String piece = event.at("/choices/0/delta/content").asText("");
        if (!piece.isEmpty()) {
            onToken(sinceDueMs());
        }
        mText.append(piece);
        readUsage(event);
    }

    private void onToken(double atMs) {
        if (mFirstTokenMs < 0) {
            mFirstTokenMs = atMs;
        } else {
            mOnGap.accept(atMs - mLastTokenMs);
        }
        mLastTokenMs = atMs;
    }

    private void onWholeBody(String body) {
        JsonNode answer = parse(body);
        if (answer.has("error")) {
            onError(answer.get("error"));
            return;
        }
        if (!mRequest.chat()) {
            mText.append(body);
            return;
        }
        mText.append(answer.at("/choices/0/message/content").asText(""));
        mFirstTokenMs = sinceDueMs();
        readUsage(answer);
    }

    private void onError(JsonNode error) {
        mErrorCode = Optional.of(error.path("code").asText("unknown"));
        mRunState = error.path("run_state").asText("");
        mRetryable = error.path("retryable").asBoolean(false);
    }

    private void readUsage(JsonNode answer) {
        JsonNode usage = answer.path("usage");
        if (usage.isObject()) {
            mUsage =
                    Optional.of(
                            new ChatReceipt.Usage(
                                    usage.path("prompt_tokens").asLong(),
                                    usage.path("completion_tokens").asLong()));
        }
    }

    private static JsonNode parse(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            return MAPPER.createObjectNode().putObject("error").put("code", "not_json");
        }
    }

    private double sinceDueMs() {
        return (mNanoTime.getAsLong() - mDueNanos) / NANOS_PER_MS;
    }

    private void complete(boolean whole) {
        mOnReceipt.accept(
                new ChatReceipt(
                        mRequest,
                        mRouter,
                        mStatus,
                        mErrorCode,
                        mRunState,
                        mRetryable,
                        mRetryAfterMs,
                        mText.toString(),
                        mUsage,
                        whole,
                        mFirstTokenMs,
                        sinceDueMs(),
                        mSent));
    }
}
