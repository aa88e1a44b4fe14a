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
 * Asks the model engines that this VM sends to for their load, one after the other.
 *
 * <p>Invariants: at most {@value #POLLS_PER_SECOND} engines are asked in a second, so that what
 * control costs does not grow with the fleet; each engine is asked at most every {@value
 * #MIN_ENGINE_INTERVAL_MS} ms. Used on the control loop only, but for the counts.
 */
public final class LoadPoller {
    /** How many engines are asked in a second; an answer takes about 700 bytes with its request. */
    static final int POLLS_PER_SECOND = 3;

    /** How often one engine is asked at most, in milliseconds. */
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
     * Makes the poller.
     *
     * @param table takes the reports
     * @param config gives the configuration in force
     * @param client sends the questions, on the control loop
     * @param clock the present time
     */
    public LoadPoller(
            UpstreamTable table, Supplier<ConfigSnapshot> config, HttpClient client, Clock clock) {
        mTable = table;
        mConfig = config;
        mClient = client;
        mClock = clock;
    }

    /** Asks the engine that was not asked for the longest time, where it is time. */
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

    /** Returns the bytes that questions and answers took, about. */
    public long bytes() {
        return mBytes.get();
    }

    /** Collects one answer; a failure says nothing, since requests show it sooner. */
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
