package org.hornbeampass.router.upstream;

import org.hornbeampass.coordination.limit.RetryBudget;
import org.hornbeampass.coordination.limit.RetryPolicy;
import org.hornbeampass.coordination.routing.RoutingPolicy;
import org.hornbeampass.coordination.routing.UpstreamChooser;
import org.hornbeampass.coordination.upstream.Placement;
import org.hornbeampass.coordination.upstream.RoutingSettings;
import org.hornbeampass.coordination.upstream.UpstreamTable;
import org.hornbeampass.protocol.openai.ChatChunk;
import org.hornbeampass.router.flow.AttemptFault;
import org.hornbeampass.router.flow.AttemptListener;
import org.hornbeampass.router.flow.TimerPort;
import org.hornbeampass.router.flow.UpstreamAnswer;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.ModelId;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.UpstreamId;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.config.ConfigSnapshot;
import org.hornbeampass.state.config.UpstreamSpec;
import org.hornbeampass.transport.http.HttpClient;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongConsumer;

/**
 * Two model engines and a plain service behind a fake HTTP client, in virtual time. Answers arrive
 * only when the test sends them.
 *
 * <p>Not thread-safe.
 */
final class UpstreamFixture {
    static final ModelId MODEL = new ModelId("desk");

    private static final FailureDomain DOMAIN = new FailureDomain("d");
    private static final Region REGION = new Region("r");

    private final List<FakeCall> mCalls = new ArrayList<>();
    private final List<Timer> mTimers = new ArrayList<>();
    private final List<AttemptFault> mFaults = new ArrayList<>();
    private final AttemptContext mContext;
    private long mNowMs;
    private int mChunks;

    /** An action and the virtual time at which it is due. */
    private record Timer(long atMs, LongConsumer action) {}

    /** A request that was sent, with methods to answer it. */
    static final class FakeCall implements HttpClient.Call {
        private final HttpClient.Request mRequest;
        private final HttpClient.Listener mListener;
        private boolean mCancelled;

        private FakeCall(HttpClient.Request request, HttpClient.Listener listener) {
            mRequest = request;
            mListener = listener;
        }

        void head() {
            String offset = mRequest.headers().getOrDefault(UpstreamHeaders.RESUME_OFFSET, "0");
            mListener.onHead(
                    200,
                    Map.of(
                            "content-type",
                            "text/event-stream",
                            UpstreamHeaders.RESUME_OFFSET,
                            offset));
        }

        void token() {
            String event = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";
            mListener.onData(event.getBytes(StandardCharsets.UTF_8));
        }

        String uri() {
            return mRequest.uri().toString();
        }

        String header(String name) {
            return mRequest.headers().get(name);
        }

        boolean cancelled() {
            return mCancelled;
        }

        @Override
        public void cancel() {
            mCancelled = true;
        }

        @Override
        public void pause() {}

        @Override
        public void resume() {}
    }

    UpstreamFixture() {
        UpstreamTable table =
                new UpstreamTable(
                        new Placement("vm-0", DOMAIN, REGION), RoutingSettings.defaults());
        table.applyConfig(
                0,
                new ConfigSnapshot(
                        1,
                        Map.of(),
                        Map.of(),
                        Map.of(
                                new UpstreamId("a"), spec("a", Optional.of(MODEL)),
                                new UpstreamId("b"), spec("b", Optional.of(MODEL)),
                                new UpstreamId("s"), spec("s", Optional.empty()))));
        mContext =
                new AttemptContext(
                        new VmId("vm-0", 1),
                        table,
                        new UpstreamChooser(table, RoutingPolicy.PREDICTED_WAIT, 1),
                        new RetryPolicy(),
                        RetryBudget.defaults(),
                        new Client(),
                        timerPort(),
                        () -> mNowMs,
                        UpstreamSettings.defaults());
    }

    AttemptContext context() {
        return mContext;
    }

    FakeCall call(int index) {
        return mCalls.get(index);
    }

    List<AttemptFault> faults() {
        return mFaults;
    }

    int chunks() {
        return mChunks;
    }

    int timers() {
        return mTimers.size();
    }

    long nowMs() {
        return mNowMs;
    }

    /** Advances virtual time and runs the timers that become due. */
    void advance(long ms) {
        long endMs = mNowMs + ms;
        while (true) {
            Optional<Timer> next = mTimers.stream().min(Comparator.comparingLong(Timer::atMs));
            if (next.isEmpty() || next.get().atMs() > endMs) {
                break;
            }
            mTimers.remove(next.get());
            mNowMs = Math.max(mNowMs, next.get().atMs());
            next.get().action().accept(mNowMs);
        }
        mNowMs = endMs;
    }

    AttemptListener listener() {
        return new AttemptListener() {
            @Override
            public void onChunk(long nowMs, int number, ChatChunk chunk) {
                mChunks++;
            }

            @Override
            public void onStreamDone(long nowMs, int number) {}

            @Override
            public void onFullAnswer(long nowMs, int number, UpstreamAnswer answer) {}

            @Override
            public void onRejected(long nowMs, int number, UpstreamAnswer answer) {}

            @Override
            public void onFault(long nowMs, int number, AttemptFault fault) {
                mFaults.add(fault);
            }
        };
    }

    /** Records each request instead of sending it. */
    private final class Client implements HttpClient {
        @Override
        public Call send(Request request, Listener listener) {
            FakeCall call = new FakeCall(request, listener);
            mCalls.add(call);
            return call;
        }

        @Override
        public void close() {}
    }

    private TimerPort timerPort() {
        return (nowMs, atMs, action) -> {
            Timer timer = new Timer(atMs, action);
            mTimers.add(timer);
            return () -> mTimers.remove(timer);
        };
    }

    private static UpstreamSpec spec(String name, Optional<ModelId> model) {
        return new UpstreamSpec(
                new UpstreamId(name),
                "http://127.0.0.1:1/" + name,
                model,
                model.isPresent() ? Optional.empty() : Optional.of("records"),
                DOMAIN,
                REGION,
                true,
                64);
    }
}
