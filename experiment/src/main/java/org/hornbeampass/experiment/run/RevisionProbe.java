package org.hornbeampass.experiment.run;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.hornbeampass.experiment.fleet.Fleet;
import org.hornbeampass.protocol.admin.AdminPaths;
import org.hornbeampass.transport.http.HttpClient;

import java.io.ByteArrayOutputStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.LongConsumer;

/**
 * Asks a router which revision it runs itself.
 *
 * <p>Called by one event loop at a time, as the client promises. A router that gives no answer is
 * left out.
 */
final class RevisionProbe implements HttpClient.Listener {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long TIMEOUT_MS = 1_000;

    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private final LongConsumer mOnRevision;

    private RevisionProbe(LongConsumer onRevision) {
        mOnRevision = onRevision;
    }

    static void send(HttpClient client, int operatorsPort, LongConsumer onRevision) {
        HttpClient.Call unused =
                client.send(
                        new HttpClient.Request(
                                "GET",
                                URI.create(
                                        "http://127.0.0.1:" + operatorsPort + AdminPaths.REVISION),
                                Map.of("authorization", "Bearer " + Fleet.OPERATOR_KEY),
                                new byte[0],
                                TIMEOUT_MS,
                                TIMEOUT_MS),
                        new RevisionProbe(onRevision));
    }

    @Override
    public void onHead(int status, Map<String, String> headers) {
        // The body tells whether this is an answer.
    }

    @Override
    public void onData(byte[] chunk) {
        mBody.writeBytes(chunk);
    }

    @Override
    public void onEnd() {
        try {
            JsonNode answer = MAPPER.readTree(mBody.toString(StandardCharsets.UTF_8));
            JsonNode self = answer.path("answered_by");
            for (JsonNode each : answer.path("routers")) {
                if (each.path("vm").equals(self)) {
                    mOnRevision.accept(each.path("revision").asLong());
                }
            }
        } catch (JsonProcessingException e) {
            // Not an answer: the router is left out of this look.
            return;
        }
    }

    @Override
    public void onFailure(boolean sent, String reason) {
        // The router is down or paused: it is left out of this look.
    }
}
