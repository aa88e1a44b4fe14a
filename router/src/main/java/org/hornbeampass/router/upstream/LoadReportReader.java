package org.hornbeampass.router.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.hornbeampass.state.ModelId;
import org.hornbeampass.state.upstream.LoadReport;

import java.io.IOException;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Reads an engine's answer to {@code GET /v1/load}.
 *
 * <p>Stateless; safe for use by any thread.
 */
final class LoadReportReader {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long MAX_SKEW_MS = 60_000;

    private LoadReportReader() {}

    /**
     * Returns the load report; empty where the body does not have the expected structure.
     *
     * @param nowMs the present time in milliseconds
     * @param body the body of the answer
     */
    static Optional<LoadReport> read(long nowMs, byte[] body) {
        try {
            JsonNode status = MAPPER.readTree(body);
            JsonNode load = status.path("load");
            int running = load.path("running").asInt(-1);
            int waiting = load.path("waiting").asInt(-1);
            if (running < 0 || waiting < 0) {
                return Optional.empty();
            }
            Set<ModelId> models = new HashSet<>();
            Set<String> adapters = new HashSet<>();
            status.path("models").forEach(m -> addReady(m, models, adapters));
            return Optional.of(
                    new LoadReport(
                            reportedAtMs(nowMs, load.path("atMs").asLong(nowMs)),
                            0,
                            running,
                            waiting,
                            0,
                            status.path("leaving").asBoolean(false),
                            models,
                            adapters));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /**
     * Returns the time of the report, at most the present time; one that differs by more than
     * {@link #MAX_SKEW_MS} from this VM's clock counts as the present time.
     */
    private static long reportedAtMs(long nowMs, long atMs) {
        return Math.abs(nowMs - atMs) <= MAX_SKEW_MS ? Math.min(nowMs, atMs) : nowMs;
    }

    private static void addReady(JsonNode model, Set<ModelId> models, Set<String> adapters) {
        String name = model.path("name").asText("");
        if (name.isBlank() || !model.path("readyVersion").isTextual()) {
            return;
        }
        if (model.path("base").isTextual()) {
            adapters.add(name);
        } else {
            models.add(new ModelId(name));
        }
    }
}
