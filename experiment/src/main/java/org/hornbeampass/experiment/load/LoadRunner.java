package org.hornbeampass.experiment.load;

import org.hornbeampass.experiment.caller.CallerRequest;
import org.hornbeampass.experiment.caller.ChatCaller;
import org.hornbeampass.experiment.caller.ChatReceipt;
import org.hornbeampass.experiment.caller.ChatRequest;
import org.hornbeampass.experiment.caller.ServiceRequest;
import org.hornbeampass.experiment.verdict.RequestKind;
import org.hornbeampass.experiment.verdict.SeenRequest;
import org.hornbeampass.experiment.verdict.SeenTry;
import org.hornbeampass.transport.http.HttpClient;

import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Sends the requests of a schedule when each is due, whatever the answers take.
 *
 * <p>Thread-safe.
 */
public final class LoadRunner {
    private static final int MAX_TRIES = 6;
    private static final double NANOS_PER_MS = 1e6;
    private static final long REFRESH_MS = 500;
    private static final int PROMPT_ALLOWANCE = 64;

    private final HttpClient mClient;
    private final ScheduledExecutorService mTimer;
    private final ChatCaller mCaller;
    private final String mModel;
    private final String mService;
    private final Map<String, CallerAddresses> mAddresses = new ConcurrentHashMap<>();
    private final Map<String, String> mKeys = new ConcurrentHashMap<>();
    private final Latencies mLatencies = new Latencies();
    private final Queue<SeenRequest> mSeen = new ConcurrentLinkedQueue<>();
    private final AtomicLong mSent = new AtomicLong();
    private final AtomicLong mServed = new AtomicLong();

    /** Makes a runner; organisations are added before it runs. */
    public LoadRunner(
            HttpClient client, ScheduledExecutorService timer, String model, String service) {
        mClient = client;
        mTimer = timer;
        mModel = model;
        mService = service;
        mCaller = new ChatCaller(client, timer, MAX_TRIES, mLatencies::addGap);
    }

    /** Adds an organisation with its callers' key and the routers that they know at first. */
    public void addOrganisation(String name, String key, List<String> routers) {
        mKeys.put(name, key);
        mAddresses.put(name, new CallerAddresses(mClient, key, routers, System.nanoTime()));
    }

    /** Starts sending; completed when each request has ended. */
    public CompletableFuture<Void> start(List<Arrival> arrivals, long startNanos) {
        ScheduledFuture<?> unusedRefresh =
                mTimer.scheduleAtFixedRate(
                        () -> mAddresses.values().forEach(a -> a.refresh(System.nanoTime())),
                        REFRESH_MS,
                        REFRESH_MS,
                        TimeUnit.MILLISECONDS);
        CompletableFuture<?>[] ends = new CompletableFuture<?>[arrivals.size()];
        for (int i = 0; i < ends.length; i++) {
            Arrival arrival = arrivals.get(i);
            CompletableFuture<Void> end = new CompletableFuture<>();
            ends[i] = end;
            long dueNanos = startNanos + Math.round(arrival.dueMs() * NANOS_PER_MS);
            ScheduledFuture<?> unused =
                    mTimer.schedule(
                            () -> send(arrival, dueNanos, end),
                            dueNanos - System.nanoTime(),
                            TimeUnit.NANOSECONDS);
        }
        return CompletableFuture.allOf(ends);
    }

    private void send(Arrival arrival, long dueNanos, CompletableFuture<Void> end) {
        mSent.incrementAndGet();
        CallerAddresses addresses = mAddresses.get(arrival.plan().name());
        long dueAtMs =
                System.currentTimeMillis()
                        - Math.round((System.nanoTime() - dueNanos) / NANOS_PER_MS);
        CompletableFuture<Void> unused =
                mCaller.send(
                                request(arrival),
                                tries ->
                                        addresses.address(
                                                System.nanoTime(), arrival.number(), tries),
                                dueNanos)
                        .thenAccept(receipts -> take(arrival, dueAtMs, receipts))
                        .whenComplete((done, problem) -> end.complete(null));
    }

    private CallerRequest request(Arrival arrival) {
        String key = mKeys.get(arrival.plan().name());
        String id = arrival.id();
        RequestShape shape = arrival.shape();
        return switch (shape.kind()) {
            case CHAT ->
                    new ChatRequest(
                            key,
                            id,
                            id,
                            mModel,
                            arrival.tokens(),
                            shape.limit(),
                            shape.stream(),
                            shape.promptWords());
            case SERVICE_ONCE ->
                    new ServiceRequest(
                            key, id, mService, "POST", "/v1/records", "{\"entry\":\"" + id + "\"}");
            default -> new ServiceRequest(key, id, mService, "GET", "/v1/records/1", "");
        };
    }

    private void take(Arrival arrival, long dueAtMs, List<ChatReceipt> receipts) {
        RequestShape shape = arrival.shape();
        long worst =
                shape.kind() == RequestKind.CHAT
                        ? shape.limit() + shape.promptWords() * 2L + PROMPT_ALLOWANCE
                        : 0;
        List<SeenTry> tries =
                receipts.stream()
                        .map(r -> new SeenTry(dueAtMs + Math.round(r.totalMs()), r))
                        .toList();
        SeenRequest seen = new SeenRequest(arrival.plan().name(), shape.kind(), worst, tries);
        mSeen.add(seen);
        if (seen.served()) {
            mServed.incrementAndGet();
            mLatencies.add(seen.kind(), seen.last().receipt());
        }
    }

    /** Returns the requests that have ended. */
    public List<SeenRequest> seen() {
        return List.copyOf(mSeen);
    }

    /** Returns the latencies. */
    public Latencies latencies() {
        return mLatencies;
    }

    /** Returns how many requests were sent so far. */
    public long sent() {
        return mSent.get();
    }

    /** Returns how many requests were answered whole so far. */
    public long served() {
        return mServed.get();
    }

    /** Returns how many requests have ended so far. */
    public long ended() {
        return mSeen.size();
    }
}
