package org.hornbeampass.router.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;

import org.hornbeampass.coordination.platform.AnswerProgress;
import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.coordination.platform.PlatformReply.StoredObject;
import org.hornbeampass.router.relay.RelayLog;
import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.BiConsumer;

/** Checks that the loss and the return of the store are each logged once. */
class ObservedStoreTest {
    private static final PlatformCall GET = new PlatformCall.Get("budgets/shard-0");
    private static final PlatformCall WATCH =
            new PlatformCall.Watch("config/", 1, Duration.ofMillis(2_500));

    private final MetricRegistry mMetrics = new MetricRegistry();
    private final Deque<BiConsumer<Long, PlatformReply>> mOpenCalls = new ArrayDeque<>();
    private int mGivenUp;
    private final Deque<AnswerProgress> mProgress = new ArrayDeque<>();
    private final Platform mUnansweringStore = new ManualStore();
    private final ObservedStore mStore =
            new ObservedStore(mUnansweringStore, new RelayLog(mMetrics), mMetrics);

    /** Keeps each call open until the test replies to it. */
    private final class ManualStore implements Platform {
        @Override
        public void submit(long nowMs, PlatformCall call, BiConsumer<Long, PlatformReply> done) {
            throw new AssertionError("expected a call with progress");
        }

        @Override
        public Runnable submit(
                long nowMs,
                PlatformCall call,
                AnswerProgress progress,
                BiConsumer<Long, PlatformReply> done) {
            mProgress.add(progress);
            mOpenCalls.add(done);
            return () -> mGivenUp++;
        }
    }

    private void call(PlatformCall call, long nowMs) {
        mStore.submit(nowMs, call, (t, reply) -> {});
    }

    private void reply(long nowMs, PlatformReply reply) {
        mOpenCalls.remove().accept(nowMs, reply);
    }

    private long logLines(String kind) {
        return mMetrics.counter("decisions{kind=\"" + kind + "\"}").getCount();
    }

    @Test
    void consecutiveFailures_areLoggedAsOneLoss() {
        for (int i = 0; i < 5; i++) {
            call(GET, i * 100L);
            reply(i * 100L + 5, new PlatformReply.Unavailable("refused"));
        }
        assertThat(logLines("store-lost")).isEqualTo(1);
        assertThat(logLines("store-regained")).isZero();
        call(GET, 1_000);
        reply(1_005, new PlatformReply.Missing());
        assertThat(logLines("store-regained")).isEqualTo(1);
        call(GET, 2_000);
        reply(2_005, new PlatformReply.Throttled());
        assertThat(logLines("store-lost")).isEqualTo(2);
    }

    @Test
    void laterEraAndLowerRevision_areEachLogged() {
        call(GET, 0);
        mProgress.remove().onEra(1, 4);
        reply(1, new PlatformReply.Written(90));
        call(GET, 10);
        mProgress.remove().onEra(11, 4);
        reply(11, new PlatformReply.Written(91));
        assertThat(logLines("store-era")).isEqualTo(1);
        assertThat(logLines("store-revision-lower")).isZero();
        call(GET, 20);
        mProgress.remove().onEra(21, 5);
        reply(21, new PlatformReply.Listed(List.of(), false, 60));
        assertThat(logLines("store-era")).isEqualTo(2);
        assertThat(logLines("store-revision-lower")).isEqualTo(1);
    }

    @Test
    void eachPageOfAListOfSeveral_isLogged() {
        List<StoredObject> page = List.of(new StoredObject("servers/a%", "{}", 1));
        call(new PlatformCall.ListObjects("servers/", "", 500), 0);
        reply(1, new PlatformReply.Listed(page, true, 60));
        call(new PlatformCall.ListObjects("servers/", "servers/a%", 500), 2);
        reply(3, new PlatformReply.Listed(List.of(), false, 60));
        call(new PlatformCall.ListObjects("config/", "", 500), 4);
        reply(5, new PlatformReply.Listed(page, false, 60));
        assertThat(logLines("store-list-page")).isEqualTo(2);
    }

    @Test
    void answerThatWasOvertaken_isNotLoggedAsLowerRevision() {
        call(GET, 0);
        call(GET, 0);
        BiConsumer<Long, PlatformReply> overtaken = mOpenCalls.remove();
        reply(1, new PlatformReply.Written(91));
        overtaken.accept(2L, new PlatformReply.Written(90));
        assertThat(logLines("store-revision-lower")).isZero();
    }

    @Test
    void hangingCall_isLoggedAsLossBeforeItIsCancelled() {
        call(GET, 0);
        mStore.tick(500);
        assertThat(logLines("store-lost")).isZero();
        mStore.tick(700);
        assertThat(logLines("store-lost")).isEqualTo(1);
        reply(800, new PlatformReply.Missing());
        mStore.tick(900);
        assertThat(logLines("store-regained")).isEqualTo(1);
    }

    @Test
    void firstAnswerAfterALoss_notifiesTheListenerOnce() {
        List<Long> regained = new ArrayList<>();
        mStore.onRegained(regained::add);
        call(GET, 0);
        reply(5, new PlatformReply.Missing());
        assertThat(regained).isEmpty();
        call(GET, 100);
        reply(200, new PlatformReply.Unavailable("no answer"));
        for (long atMs = 300; atMs < 600; atMs += 100) {
            call(GET, atMs);
            reply(atMs + 5, new PlatformReply.Missing());
        }
        assertThat(regained).containsExactly(305L);
    }

    @Test
    void cancelledCall_isCancelledAtTheStoreAndNotReportedAsHanging() {
        mStore.submit(0, GET, AnswerProgress.IGNORED, (t, reply) -> {}).run();
        assertThat(mGivenUp).isEqualTo(1);
        mStore.tick(10_000);
        assertThat(logLines("store-lost")).isZero();
    }

    @Test
    void waitingWatch_isNotLoggedAsLoss() {
        call(WATCH, 0);
        mStore.tick(2_400);
        assertThat(logLines("store-lost")).isZero();
    }

    @Test
    void bytesOfAnswers_areCounted_andALargeOneIsLogged() {
        call(GET, 0);
        mProgress.remove().onBytes(100, 1_000);
        reply(100, new PlatformReply.Missing());
        assertThat(logLines("store-answer-large")).isZero();
        call(WATCH, 200);
        mProgress.peek().onBytes(300, 300_000);
        mProgress.remove().onBytes(700, 300_000);
        reply(900, new PlatformReply.WatchGap());
        assertThat(logLines("store-answer-large")).isEqualTo(1);
        assertThat(mMetrics.counter("store_bytes{kind=\"read\"}").getCount()).isEqualTo(1_000);
        assertThat(mMetrics.counter("store_bytes{kind=\"watch\"}").getCount()).isEqualTo(600_000);
    }

    @Test
    void calls_areCountedByKindAndResult() {
        call(GET, 0);
        reply(5, new PlatformReply.Missing());
        assertThat(mMetrics.counter("store_calls{kind=\"read\",result=\"missing\"}").getCount())
                .isEqualTo(1);
    }
}
