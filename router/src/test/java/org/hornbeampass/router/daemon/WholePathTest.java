package org.hornbeampass.router.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.hornbeampass.standin.engine.AnswerText;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;

/** The whole path over real sockets: a caller, a router, an engine, a service and a platform. */
class WholePathTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient mClient = HttpClient.newHttpClient();
    private TestFleet mFleet;
    private RouterDaemon mRouter;

    @BeforeEach
    void start() {
        mFleet = new TestFleet(1);
        mRouter = mFleet.startRouter("vm-1");
        mFleet.setUp(1_000_000);
    }

    @AfterEach
    void stop() {
        mFleet.close();
    }

    @Test
    void streamedAnswer_comesWholeAndIsBilledForItsTokens() throws Exception {
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
        StringBuilder text = new StringBuilder();
        long billed = 0;
        for (String event : events.subList(0, events.size() - 1)) {
            JsonNode chunk = MAPPER.readTree(event);
            text.append(chunk.path("choices").path(0).path("delta").path("content").asText(""));
            billed += chunk.path("usage").path("total_tokens").asLong(0);
        }
        assertThat(AnswerText.problem("a", 40, text.toString())).isEmpty();
        long settled = billed;
        TestFleet.await(() -> spent() == settled);
    }

    @Test
    void wholeAnswer_isBilled() throws Exception {
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
        TestFleet.await(() -> spent() == used);
    }

    @Test
    void callThatMayNotBeRepeated_runsOnceAndItsOutcomeIsReturnedAgain() throws Exception {
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
    void unknownKey_isRefused() throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(uri("/v1/chat/completions"))
                        .header("authorization", "Bearer nobody")
                        .POST(HttpRequest.BodyPublishers.ofString("{}"))
                        .build();
        assertThat(send(request).statusCode()).isEqualTo(401);
    }

    private long spent() {
        return TestFleet.spent(mRouter);
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
        String body =
                "{\"model\":\"desk\",\"stream\":"
                        + stream
                        + ",\"stream_options\":{\"include_usage\":true},\"max_tokens\":100,"
                        + "\"messages\":[{\"role\":\"user\",\"content\":\""
                        + prompt
                        + "\"}]}";
        return HttpRequest.newBuilder(uri("/v1/chat/completions"))
                .header("authorization", "Bearer " + TestFleet.KEY)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    private HttpRequest service(String key, String body) {
        return HttpRequest.newBuilder(uri("/v1/services/records/v1/records"))
                .header("authorization", "Bearer " + TestFleet.KEY)
                .header("idempotency-key", key)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    private URI uri(String path) {
        return URI.create("http://127.0.0.1:" + mRouter.callersAddress().getPort() + path);
    }
}
