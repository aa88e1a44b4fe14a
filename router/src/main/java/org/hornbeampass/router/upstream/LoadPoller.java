package org.hornbeampass.router.upstream;

import org.hornbeampass.coordination.upstream.UpstreamTable;
import org.hornbeampass.state.UpstreamId;
import org.hornbeampass.state.config.ConfigSnapshot;
import org.hornbeampass.state.config.UpstreamSpec;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.http.HttpClient;

import java.io.ByteArrayOutputStream;
import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/**
 * Polls the model engines to which this VM sends requests for their load, one at a time.
 *
 * <p>Invariants: at most {@value #POLLS_PER_SECOND} engines are polled per second, so that the cost
 * of polling does not grow with the fleet; each engine is polled at most every {@value
 * #MIN_ENGINE_INTERVAL_MS} ms. Confined to the control loop, except for {@link #bytes}.
 */
public final class LoadPoller {
    /** How many engines are polled per second; a request and its answer take about 700 bytes. */
    static final int POLLS_PER_SECOND = 3;

    /** The shortest interval between two polls of the same engine, in milliseconds. */
    static final long MIN_ENGINE_INTERVAL_MS = 500;

    private static final long POLL_INTERVAL_MS = 1_000 / POLLS_PER_SECOND;
    private static final long TIMEOUT_MS = 1_000;
    private static final int MAX_BYTES = 64 << 10;
    private static final int HEAD_BYTES = 300;

    private final UpstreamTable mTable;
    private final Supplier<ConfigSnapshot> mConfig;
    private final HttpClient mClient;
    private final Clock mClock;
    private final Map<UpstreamId, Long> mPolledAtMs = new HashMap<>();
    private final AtomicLong mBytes = new AtomicLong();
    private long mLastPollMs;

    /**
     * Creates the poller.
     *
     * @param table receives the load reports
     * @param config returns the configuration in force
     * @param client sends the requests, on the control loop
     * @param clock the source of the present time
     */
    public LoadPoller(
            UpstreamTable table, Supplier<ConfigSnapshot> config, HttpClient client, Clock clock) {
        mTable = table;
        mConfig = config;
        mClient = client;
        mClock = clock;
    }

    /** Polls the engine whose last poll is the longest ago, if a poll is due. */
    public void tick(long nowMs) {
        if (nowMs - mLastPollMs < POLL_INTERVAL_MS) {
            return;
        }
        Optional<UpstreamSpec> next = nextEngine(nowMs);
        if (next.isPresent()) {
            mLastPollMs = nowMs;
            mPolledAtMs.put(next.get().id(), nowMs);
            poll(next.get());
        }
    }

    private Optional<UpstreamSpec> nextEngine(long nowMs) {
        Map<UpstreamId, UpstreamSpec> specs = mConfig.get().upstreams();
        List<UpstreamSpec> engines = new ArrayList<>();
        for (UpstreamId id : mTable.subset()) {
            UpstreamSpec spec = specs.get(id);
            if (spec != null && spec.model().isPresent()) {
                engines.add(spec);
            }
        }
        mPolledAtMs.keySet().retainAll(engines.stream().map(UpstreamSpec::id).toList());
        return engines.stream()
                .filter(e -> nowMs - polledAtMs(e) >= MIN_ENGINE_INTERVAL_MS)
                .min((a, b) -> Long.compare(polledAtMs(a), polledAtMs(b)));
    }

    private long polledAtMs(UpstreamSpec engine) {
        return mPolledAtMs.getOrDefault(engine.id(), 0L);
    }

    private void poll(UpstreamSpec engine) {
        HttpClient.Request request =
                new HttpClient.Request(
                        "GET",
                        URI.create(engine.baseUri() + "/v1/load"),
                        Map.of("accept", "application/json"),
                        new byte[0],
                        TIMEOUT_MS,
                        TIMEOUT_MS);
        mClient.send(request, new AnswerCollector(engine.id()));
    }

    /** Returns the approximate number of bytes that all polls and their answers took. */
    public long bytes() {
        return mBytes.get();
    }

    /**
     * Collects one answer. A failed poll is ignored, since requests to the engine show its failure
     * sooner.
     */
    private final class AnswerCollector implements HttpClient.Listener {
        private final UpstreamId mId;
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private boolean mUsable;

        AnswerCollector(UpstreamId id) {
            mId = id;
        }

        @Override
        public void onHead(int status, Map<String, String> headers) {
            mUsable = status == 200;
        }

        @Override
        public void onData(byte[] chunk) {
            if (mBody.size() + chunk.length <= MAX_BYTES) {
                mBody.writeBytes(chunk);
            } else {
                mUsable = false;
            }
        }

        @Override
        public void onEnd() {
            mBytes.addAndGet(HEAD_BYTES + mBody.size());
            long nowMs = mClock.nowMs();
            if (mUsable) {
                LoadReportReader.read(nowMs, mBody.toByteArray())
                        .ifPresent(report -> mTable.onLoadReport(nowMs, mId, report));
            }
        }

        @Override
        public void onFailure(boolean sent, String reason) {
            mBytes.addAndGet(HEAD_BYTES);
        }
    }
}
