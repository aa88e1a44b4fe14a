package org.hornbeampass.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;

import org.hornbeampass.standin.admin.FaultRule;
import org.hornbeampass.standin.admin.TestHttp;
import org.hornbeampass.standin.platform.PlatformSettings;
import org.hornbeampass.standin.platform.PlatformStandIn;
import org.hornbeampass.state.Json;
import org.hornbeampass.transport.Clock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import java.util.List;
import java.util.Optional;

/** Tests {@link EngineStandIn} over HTTP. */
@Timeout(60)
class EngineStandInTest {
    private static final EngineTiming FAST = new EngineTiming(1, 0, 0, 10_000, 32, 256, 1_000);
    private static final int ENDLESS = 1_000_000;

    private final EngineStandIn mEngine =
            EngineStandIn.start(
                    EngineSettings.defaults("desk")
                            .withTiming(FAST)
                            .withNews(EngineNews.prompt())
                            .withWeights(new EngineSettings.Weights(Optional.empty(), "", 0)));
    private final TestHttp mHttp = new TestHttp().with(EngineHeaders.REQUEST_ID, "q1");

    @AfterEach
    void close() {
        mHttp.close();
        mEngine.close();
    }

    @Test
    void complete_whole_givesTheRequestsOwnAnswerAndUsage() throws Exception {
        JsonNode body = json(chat("a1", 5, false));

        String text = body.at("/choices/0/message/content").asText();
        assertThat(AnswerText.problem("q1", 5, text)).isEmpty();
        assertThat(body.at("/choices/0/finish_reason").asText()).isEqualTo("stop");
        assertThat(body.at("/usage/completion_tokens").asInt()).isEqualTo(5);
        assertThat(body.at("/usage/prompt_tokens").asInt()).isEqualTo(3);
    }

    @Test
    void complete_streamed_endsWithUsageAndDone() throws Exception {
        TestHttp.Answer answer = chat("a1", 5, true);

        assertThat(AnswerText.problem("q1", 5, streamedText(answer.body()))).isEmpty();
        List<String> events = events(answer.body());
        assertThat(events.get(events.size() - 1)).isEqualTo("[DONE]");
        assertThat(events.get(events.size() - 2)).contains("\"completion_tokens\":5");
        assertThat(events.get(events.size() - 3)).contains("\"finish_reason\":\"stop\"");
        assertThat(answer.failure()).isEmpty();
    }

    @Test
    void complete_beyondMaxTokens_isCut() throws Exception {
        mHttp.with(EngineHeaders.ATTEMPT_ID, "a1");
        JsonNode body = json(mHttp.call("POST", chatUri(), body(50, false, ",\"max_tokens\":3")));

        assertThat(body.at("/choices/0/finish_reason").asText()).isEqualTo("length");
        assertThat(body.at("/usage/completion_tokens").asInt()).isEqualTo(3);
    }

    @Test
    void complete_resumed_goesOnAtTheOffset() throws Exception {
        mHttp.with(EngineHeaders.RESUME_OFFSET, "3");
        TestHttp.Answer answer = chat("a2", 5, true);

        assertThat(streamedText(answer.body())).isEqualTo(AnswerText.text("q1", 3, 5));
        assertThat(answer.body()).contains("\"completion_tokens\":5");
        assertThat(run("a2").generated()).isEqualTo(2);
    }

    @Test
    void complete_resumedBeyondTheEnd_isRefused() throws Exception {
        mHttp.with(EngineHeaders.RESUME_OFFSET, "6");

        assertThat(chat("a2", 5, true).status()).isEqualTo(400);
        assertThat(mEngine.runs("").get().runs()).isEmpty();
    }

    @Test
    void complete_ofUnknownModel_isNotFound() throws Exception {
        String body = body(5, false, "").replace("\"desk\"", "\"other\"");

        assertThat(mHttp.call("POST", chatUri(), body).status()).isEqualTo(404);
    }

    @Test
    void callerGone_cancelsTheRun() throws Exception {
        TestHttp.Pending pending = startEndless("a1");
        pending.awaitData();
        pending.cancel();

        awaitState("a1", RunLedger.State.CANCELLED);
    }

    @Test
    void cancel_endsTheRunAndTellsItsTokens() throws Exception {
        TestHttp.Pending pending = startEndless("a1");
        pending.awaitData();
        JsonNode cancelled = json(mHttp.call("POST", mEngine.uri() + "/v1/cancel/a1", ""));

        assertThat(cancelled.path("cancelled").asBoolean()).isTrue();
        assertThat(cancelled.path("generated").asInt())
                .isEqualTo(run("a1").generated())
                .isPositive();
        assertThat(pending.await().failure()).isNotEmpty();
        assertThat(run("a1").state()).isEqualTo(RunLedger.State.CANCELLED);
    }

    @Test
    void leaving_refusesNewWorkAndFinishesTheOld() throws Exception {
        TestHttp.Pending open = start("a1", 200);
        open.awaitData();
        mHttp.call("POST", mEngine.uri() + "/admin/leaving", "");
        TestHttp.Answer refused = chat("a2", 5, true);

        assertThat(refused.status()).isEqualTo(503);
        assertThat(refused.headers()).containsEntry(EngineHeaders.LEAVING, "true");
        assertThat(open.await().body()).contains("[DONE]");
        assertThat(mHttp.call("GET", mEngine.uri() + "/v1/load", "").body())
                .contains("\"leaving\":true");
        assertThat(mEngine.runs("").get().runs()).hasSize(1);
    }

    @Test
    void error_isAnsweredWithoutARun() throws Exception {
        mEngine.faults().set(EngineFault.ERROR, FaultRule.next(1, 0));

        assertThat(chat("a1", 5, true).status()).isEqualTo(500);
        assertThat(mEngine.runs("").get().runs()).isEmpty();
        assertThat(chat("a2", 5, true).status()).isEqualTo(200);
    }

    @Test
    void dropStream_breaksOffAfterItsTokens() throws Exception {
        mEngine.faults().set(EngineFault.DROP_STREAM, FaultRule.next(1, 3));
        TestHttp.Answer answer = chat("a1", 5, true);

        assertThat(answer.failure()).contains("sent=true");
        assertThat(streamedText(answer.body())).isEqualTo(AnswerText.text("q1", 0, 3));
        assertThat(run("a1").state()).isEqualTo(RunLedger.State.DROPPED);
        assertThat(run("a1").generated()).isEqualTo(3);
    }

    @Test
    void refuse_closesTheConnectionWithoutARun() throws Exception {
        mEngine.faults().set(EngineFault.REFUSE, FaultRule.next(1, 0));
        TestHttp.Answer answer = chat("a1", 5, true);

        assertThat(answer.status()).isZero();
        assertThat(answer.failure()).isNotEmpty();
        assertThat(mEngine.runs("").get().runs()).isEmpty();
    }

    @Test
    void freeze_holdsTheAnswerUntilCleared() throws Exception {
        mHttp.call("PUT", mEngine.uri() + "/admin/faults", "{\"freeze\":{\"probability\":1}}");
        TestHttp.Pending pending = start("a1", 5);
        awaitState("a1", RunLedger.State.OPEN);
        assertThat(run("a1").generated()).isZero();

        mHttp.call("DELETE", mEngine.uri() + "/admin/faults", "");
        assertThat(pending.await().body()).contains("[DONE]");
    }

    @Test
    void slow_changesTheStepTime() throws Exception {
        EngineTiming endless = new EngineTiming(1e9, 0, 0, 10_000, 32, 256, 1_000);
        EngineSettings settings = EngineSettings.defaults("desk").withTiming(endless);
        try (EngineStandIn engine = EngineStandIn.start(settings)) {
            engine.faults().set(EngineFault.SLOW, FaultRule.always(1e-9));
            String uri = engine.uri() + "/v1/chat/completions";

            assertThat(mHttp.call("POST", uri, body(5, true, "")).body()).contains("[DONE]");
        }
    }

    @Test
    void order_toLoad_takesTheWeightsFromTheStore() throws Exception {
        PlatformSettings.Weights weights = new PlatformSettings.Weights(100 << 20, 100_000);
        PlatformSettings settings =
                PlatformSettings.defaults().withKey("secret").withWeights(weights);
        try (PlatformStandIn platform = PlatformStandIn.start(settings);
                EngineStandIn engine =
                        EngineStandIn.start(
                                EngineSettings.defaults("desk")
                                        .withWeights(
                                                new EngineSettings.Weights(
                                                        Optional.of(platform.uri()),
                                                        "secret",
                                                        0)))) {
            mHttp.call(
                    "POST",
                    engine.uri() + "/v1/orders",
                    "{\"fencing\":1,\"action\":\"LOAD\",\"model\":\"review\",\"version\":\"2\"}");
            while (!mHttp.call("GET", engine.uri() + "/v1/models", "").body().contains("review")) {
                Thread.onSpinWait();
            }
            assertThat(mHttp.call("GET", platform.uri() + "/admin/counts", "").body())
                    .contains("\"review@2\":{\"started\":1,\"finished\":1,\"open\":0");
        }
    }

    @Test
    void loadLag_isSettable() throws Exception {
        String load = mEngine.uri() + "/v1/load";
        TestHttp.Pending open = startEndless("a1");
        open.awaitData();
        assertThat(json(mHttp.call("GET", load, "")).at("/load/running").asInt()).isEqualTo(1);

        mHttp.call("PUT", mEngine.uri() + "/admin/load-lag?ms=1000000", "");
        long atMs = json(mHttp.call("GET", load, "")).at("/load/atMs").asLong();
        assertThat(atMs).isLessThan(Clock.monotonic().nowMs() - 900_000);
        open.cancel();
    }

    @Test
    void faults_ofUnknownKind_areRefused() throws Exception {
        TestHttp.Answer answer =
                mHttp.call("PUT", mEngine.uri() + "/admin/faults", "{\"nonsense\":{}}");

        assertThat(answer.status()).isEqualTo(400);
        assertThat(mEngine.faults().rules()).isEmpty();
    }

    @Test
    void order_toLoad_makesTheModelReady() throws Exception {
        TestHttp.Answer answer = order("{\"fencing\":7,\"action\":\"LOAD\",\"model\":\"review\"}");

        assertThat(answer.status()).isEqualTo(200);
        String models = mEngine.uri() + "/v1/models";
        while (!mHttp.call("GET", models, "").body().contains("review")) {
            Thread.onSpinWait();
        }
    }

    @Test
    void order_withOldNumber_isRefused() throws Exception {
        order("{\"fencing\":7,\"action\":\"SET_ROLE\",\"role\":\"prefill\"}");
        TestHttp.Answer old = order("{\"fencing\":6,\"action\":\"SET_ROLE\",\"role\":\"decode\"}");

        assertThat(old.status()).isEqualTo(409);
        assertThat(mEngine.orders().get()).hasSize(2);
        assertThat(mHttp.call("GET", mEngine.uri() + "/v1/load", "").body())
                .contains("\"role\":\"prefill\"")
                .contains("\"highestFencing\":7");
    }

    @Test
    void cacheEvents_areServedAfterASequence() throws Exception {
        mHttp.with(EngineHeaders.ATTEMPT_ID, "a1");
        String content = "x".repeat(64 * 3) + " [[tokens=1]]";
        String body = "{\"model\":\"desk\",\"messages\":[{\"content\":\"" + content + "\"}]}";
        mHttp.call("POST", chatUri(), body);

        String uri = mEngine.uri() + "/v1/cache-events?after=";
        assertThat(json(mHttp.call("GET", uri + 0, "")).size()).isEqualTo(3);
        assertThat(json(mHttp.call("GET", uri + 2, "")).size()).isEqualTo(1);
        assertThat(mHttp.call("GET", uri + "x", "").status()).isEqualTo(400);
    }

    private TestHttp.Answer chat(String attempt, int tokens, boolean stream) throws Exception {
        mHttp.with(EngineHeaders.ATTEMPT_ID, attempt);
        return mHttp.call("POST", chatUri(), body(tokens, stream, ""));
    }

    private TestHttp.Pending start(String attempt, int tokens) {
        mHttp.with(EngineHeaders.ATTEMPT_ID, attempt);
        return mHttp.start("POST", chatUri(), body(tokens, true, ""));
    }

    private TestHttp.Pending startEndless(String attempt) {
        return start(attempt, ENDLESS);
    }

    private TestHttp.Answer order(String body) throws Exception {
        return mHttp.call("POST", mEngine.uri() + "/v1/orders", body);
    }

    private String chatUri() {
        return mEngine.uri() + "/v1/chat/completions";
    }

    private static String body(int tokens, boolean stream, String more) {
        return "{\"model\":\"desk\",\"stream\":"
                + stream
                + ",\"stream_options\":{\"include_usage\":true},\"messages\":"
                + "[{\"role\":\"user\",\"content\":\"[[tokens="
                + tokens
                + "]]\"}]"
                + more
                + "}";
    }

    private RunLedger.Run run(String attempt) throws Exception {
        return mEngine.runs("q1").get().runs().stream()
                .filter(r -> r.attemptId().equals(attempt))
                .findFirst()
                .orElseThrow();
    }

    private void awaitState(String attempt, RunLedger.State state) throws Exception {
        while (mEngine.runs("q1").get().runs().stream()
                .noneMatch(r -> r.attemptId().equals(attempt) && r.state() == state)) {
            Thread.onSpinWait();
        }
    }

    private static JsonNode json(TestHttp.Answer answer) {
        return Json.decode(answer.body(), JsonNode.class).get();
    }

    private static List<String> events(String body) {
        return body.lines().filter(l -> l.startsWith("data: ")).map(l -> l.substring(6)).toList();
    }

    private static String streamedText(String body) {
        StringBuilder text = new StringBuilder();
        for (String event : events(body)) {
            if (!event.equals("[DONE]")) {
                text.append(
                        Json.decode(event, JsonNode.class)
                                .get()
                                .at("/choices/0/delta/content")
                                .asText(""));
            }
        }
        return text.toString();
    }
}
