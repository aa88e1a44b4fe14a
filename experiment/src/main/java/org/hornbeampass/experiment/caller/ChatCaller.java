package org.hornbeampass.experiment.caller;

import org.hornbeampass.transport.http.HttpClient;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleConsumer;
import java.util.function.IntFunction;

/**
 * Sends a request as an ordinary client does: to one address, then with the same idempotency key to
 * the next while the error invites a retry and tries are left.
 *
 * <p>Thread-safe.
 */
public final class ChatCaller {
    static final long CONNECT_TIMEOUT_MS = 2_000;
    static final long IDLE_TIMEOUT_MS = 60_000;
    private static final long DEFAULT_RETRY_MS = 100;
    private static final long MAX_RETRY_MS = 5_000;

    private final HttpClient mClient;
    private final ScheduledExecutorService mTimer;
    private final int mMaxTries;
    private final DoubleConsumer mOnGap;

    /**
     * Makes a caller.
     *
     * @param client the client to send with
     * @param timer runs retries
     * @param maxTries the largest number of tries of one request, from 1
     */
    public ChatCaller(HttpClient client, ScheduledExecutorService timer, int maxTries) {
        this(client, timer, maxTries, gapMs -> {});
    }

    /**
     * Makes a caller that tells of the time between tokens.
     *
     * @param client the client to send with
     * @param timer runs retries
     * @param maxTries the largest number of tries of one request, from 1
     * @param onGap told of each time between two tokens, in milliseconds; must be thread-safe
     */
    public ChatCaller(
            HttpClient client, ScheduledExecutorService timer, int maxTries, DoubleConsumer onGap) {
        mClient = client;
        mTimer = timer;
        mMaxTries = maxTries;
        mOnGap = onGap;
    }

    /**
     * Sends a request.
     *
     * @param request the request
     * @param address gives the address, {@code host:port}, for each try, counted from 0
     * @param dueNanos when it should be sent, by {@link System#nanoTime}; latencies count from here
     * @return the receipts of all tries, the last one's last
     */
    public CompletableFuture<List<ChatReceipt>> send(
            CallerRequest request, IntFunction<String> address, long dueNanos) {
        CompletableFuture<List<ChatReceipt>> done = new CompletableFuture<>();
        attempt(request, address, dueNanos, new ArrayList<>(), done);
        return done;
    }

    private void attempt(
            CallerRequest request,
            IntFunction<String> address,
            long dueNanos,
            List<ChatReceipt> receipts,
            CompletableFuture<List<ChatReceipt>> done) {
        String router = address.apply(receipts.size());
        ChatTry listener =
                new ChatTry(
                        request,
                        router,
                        dueNanos,
                        System::nanoTime,
                        mOnGap,
                        receipt -> onReceipt(receipt, address, dueNanos, receipts, done));
        mClient.send(request.to(router), listener);
    }

    private void onReceipt(
            ChatReceipt receipt,
            IntFunction<String> address,
            long dueNanos,
            List<ChatReceipt> receipts,
            CompletableFuture<List<ChatReceipt>> done) {
        receipts.add(receipt);
        if (!mayRetry(receipt, receipts.size())) {
            done.complete(List.copyOf(receipts));
            return;
        }
        ScheduledFuture<?> unused =
                mTimer.schedule(
                        () -> attempt(receipt.request(), address, dueNanos, receipts, done),
                        pauseMs(receipt, receipts.size()),
                        TimeUnit.MILLISECONDS);
    }

    private boolean mayRetry(ChatReceipt receipt, int tries) {
        return !receipt.served() && receipt.retryable() && tries < mMaxTries;
    }

    private static long pauseMs(ChatReceipt receipt, int tries) {
        long asked = receipt.retryAfterMs() > 0 ? receipt.retryAfterMs() : DEFAULT_RETRY_MS * tries;
        return Math.min(asked, MAX_RETRY_MS);
    }
}
