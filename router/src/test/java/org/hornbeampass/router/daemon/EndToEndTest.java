package org.hornbeampass.router.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.hornbeampass.standin.admin.FaultRule;
import org.hornbeampass.standin.engine.AnswerText;
import org.hornbeampass.standin.engine.EngineFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Checks requests end to end over real sockets, with a caller, routers, engines, a service and a
 * platform.
 */
class EndToEndTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient mClient = HttpClient.newHttpClient();
    private TestFleet mFleet;
    private RouterDaemon mRouter;

    @BeforeEach
    void start() {
        mFleet = new TestFleet(2);
        mRouter = mFleet.startRouter("vm-1");
        mFleet.setUp(1_000_000);
    }

    @AfterEach
    void stop() {
        mFleet.close();
    }

    @Test
    void streamedAnswer_isCompleteAndBilledForItsTokens() throws Exception {
        HttpResponse<java.util.stream.Stream<String>> response =
                mClient.send(
                        chat(true, "[[id=a]][[tokens=40]]"), HttpResponse.BodyHandlers.ofLines());
        List<String> events =
                response.body()
                        .filter(line -> line.startsWith("data: "))
                        .map(line -> line.substring("data: ".length()))
                        .toList();

        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.headers().firstValue("x-request-id")).isPresent();
        assertThat(events).last().isEqualTo("[DONE]");
        String body = events.stream().map(e -> "data: " + e + "\n").collect(Collectors.joining());
        long billed = usage(body);
        assertThat(AnswerText.problem("a", 40, text(body))).isEmpty();
        assertThat(billed).isPositive();
        assertThat(settledTokensAfterShutdown()).isEqualTo(billed);
    }

    @Test
    void streamDroppedByAnUpstream_resumesAtTheExactTokenAndIsBilledOnce() throws Exception {
        mFleet.mEngines.forEach(e -> e.faults().set(EngineFault.DROP_STREAM, FaultRule.next(1, 5)));
        HttpResponse<String> response = send(chat(true, "[[id=d]][[tokens=20]]"));
        assertThat(AnswerText.problem("d", 20, text(response.body()))).isEmpty();
        assertThat(response.body()).endsWith("data: [DONE]\n\n");
        assertThat(settledTokensAfterShutdown()).isEqualTo(usage(response.body()));
    }

    @Test
    void shutdown_finishesTheStreamAndRefusesNewRequests() throws Exception {
        HttpResponse<java.io.InputStream> open =
                mClient.send(
                        chat(true, "[[id=e]][[tokens=80]]"),
                        HttpResponse.BodyHandlers.ofInputStream());
        var stopped = mRouter.shutDown();
        HttpResponse<String> refused = send(chat(false, "[[tokens=1]]"));
        assertThat(refused.statusCode()).isEqualTo(503);
        assertThat(refused.body()).contains("shutting_down").contains("\"run_state\":\"not_run\"");
        String body = new String(open.body().readAllBytes(), StandardCharsets.UTF_8);
        assertThat(AnswerText.problem("e", 80, text(body))).isEmpty();
        assertThat(body).endsWith("data: [DONE]\n\n");
        stopped.join();
        assertThat(mFleet.settledTokens()).isEqualTo(usage(body));
    }

    @Test
    void idempotencyKeySentToTwoRouters_isBilledOnce() throws Exception {
        RouterDaemon second = mFleet.startRouter("vm-2");
        TestFleet.await(
                () ->
                        second.coordination().config().snapshot().revision()
                                >= mRouter.coordination().config().snapshot().revision());
        String prompt = "[[id=f]][[tokens=9]]";
        HttpResponse<String> here = send(chat(mRouter, false, prompt, "key-f"));
        HttpResponse<String> there = send(chat(second, false, prompt, "key-f"));
        assertThat(here.statusCode()).isEqualTo(200);
        assertThat(there.statusCode()).isEqualTo(200);
        mRouter.shutDown().join();
        second.shutDown().join();
        assertThat(mFleet.settledTokens())
                .isEqualTo(
                        MAPPER.readTree(here.body()).path("usage").path("total_tokens").asLong());
    }

    @Test
    void unstreamedAnswer_isBilledForItsTokens() throws Exception {
        HttpResponse<String> response = send(chat(false, "[[id=b]][[tokens=7]]"));
        assertThat(response.statusCode()).isEqualTo(200);
        JsonNode answer = MAPPER.readTree(response.body());
        assertThat(
                        AnswerText.problem(
                                "b",
                                7,
                                answer.path("choices")
                                        .path(0)
                                        .path("message")
                                        .path("content")
                                        .asText()))
                .isEmpty();
        long used = answer.path("usage").path("total_tokens").asLong();
        assertThat(settledTokensAfterShutdown()).isEqualTo(used);
    }

    @Test
    void nonRepeatableCall_runsOnceAndItsOutcomeIsReturnedToARetry() throws Exception {
        HttpResponse<String> first = send(service("key-1", "{\"release\":1}"));
        HttpResponse<String> second = send(service("key-1", "{\"release\":1}"));
        HttpResponse<String> other = send(service("key-1", "{\"release\":2}"));
        assertThat(first.statusCode()).isEqualTo(201);
        assertThat(second.statusCode()).isEqualTo(201);
        assertThat(second.body()).isEqualTo(first.body());
        assertThat(other.statusCode()).isEqualTo(409);
        assertThat(other.body()).contains("idempotency_key_reused");
        assertThat(mFleet.mService.records().after(0, 10)).hasSize(1);
    }

    @Test
    void modelsAndAddresses_areListed() throws Exception {
        assertThat(send(get("/v1/models")).body()).contains("\"desk\"");
        assertThat(send(get("/v1/addresses")).body())
                .contains("127.0.0.1:" + mRouter.callersAddress().getPort());
        assertThat(send(get("/metrics")).statusCode()).isEqualTo(200);
        assertThat(send(get("/readyz")).statusCode()).isEqualTo(200);
    }

    @Test
    void unknownKey_isRejected() throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(uri("/v1/chat/completions"))
                        .header("authorization", "Bearer nobody")
                        .POST(HttpRequest.BodyPublishers.ofString("{}"))
                        .build();
        assertThat(send(request).statusCode()).isEqualTo(401);
    }

    /**
     * Returns the settled tokens according to the platform's record, after the router has shut
     * down.
     */
    private long settledTokensAfterShutdown() {
        mRouter.shutDown().join();
        return mFleet.settledTokens();
    }

    /** Returns the generated text of a streamed answer. */
    private static String text(String stream) throws IOException {
        StringBuilder text = new StringBuilder();
        for (JsonNode chunk : chunks(stream)) {
            text.append(chunk.path("choices").path(0).path("delta").path("content").asText(""));
        }
        return text.toString();
    }

    /** Returns the tokens that a streamed answer reports as used. */
    private static long usage(String stream) throws IOException {
        long tokens = 0;
        for (JsonNode chunk : chunks(stream)) {
            tokens += chunk.path("usage").path("total_tokens").asLong(0);
        }
        return tokens;
    }

    private static List<JsonNode> chunks(String stream) throws IOException {
        List<JsonNode> chunks = new ArrayList<>();
        for (String line : stream.split("\n", -1)) {
            if (line.startsWith("data: {")) {
                chunks.add(MAPPER.readTree(line.substring("data: ".length())));
            }
        }
        return chunks;
    }

    private HttpResponse<String> send(HttpRequest request)
            throws IOException, InterruptedException {
        return mClient.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private HttpRequest get(String path) {
        return HttpRequest.newBuilder(uri(path))
                .header("authorization", "Bearer " + TestFleet.KEY)
                .build();
    }

    private HttpRequest chat(boolean stream, String prompt) {
        return chat(mRouter, stream, prompt, "");
    }

    private static HttpRequest chat(
            RouterDaemon router, boolean stream, String prompt, String idempotencyKey) {
        String body =
                "{\"model\":\"desk\",\"stream\":"
                        + stream
                        + ",\"stream_options\":{\"include_usage\":true},\"max_tokens\":100,"
                        + "\"messages\":[{\"role\":\"user\",\"content\":\""
                        + prompt
                        + "\"}]}";
        HttpRequest.Builder request =
                HttpRequest.newBuilder(uri(router, "/v1/chat/completions"))
                        .header("authorization", "Bearer " + TestFleet.KEY)
                        .POST(HttpRequest.BodyPublishers.ofString(body));
        return idempotencyKey.isEmpty()
                ? request.build()
                : request.header("idempotency-key", idempotencyKey).build();
    }

    private HttpRequest service(String key, String body) {
        return HttpRequest.newBuilder(uri("/v1/services/records/v1/records"))
                .header("authorization", "Bearer " + TestFleet.KEY)
                .header("idempotency-key", key)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    private URI uri(String path) {
        return uri(mRouter, path);
    }

    private static URI uri(RouterDaemon router, String path) {
        return URI.create("http://127.0.0.1:" + router.callersAddress().getPort() + path);
    }
}
