package review;

import java.io.OutputStream;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** A model runner's streams, and the requesters that ask for them. */
final class Streams {
    static final int STRIDE = 7;
    static final String KEY = "key-of-acme-0001";

    private Streams() {}

    /** Returns a route of streams that may not be resumed. */
    static Map<String, Object> route(boolean resumable) {
        return Json.object(
                "name", "chat",
                "host", "api.example",
                "path-prefix", "/chat/",
                "service", "llm",
                "kind", "streaming",
                "timeout-ms", 12000,
                "objective-ms", 1000,
                "gap-target-ms", 500,
                "max-attempts", resumable ? 2 : 1,
                "resumable", resumable,
                "sticky", true,
                "priority", 1);
    }

    static Map<String, Object> service() {
        return Json.object(
                "name", "llm",
                "health-path", "/health",
                "conn-limit", 370,
                "engine", Json.object("slots", 64, "kv-tokens", 396067, "stride", STRIDE));
    }

    static Map<String, Object> tenant(long prepaid) {
        return Json.object(
                "name", "acme", "api-keys", List.of(KEY), "priority", 1, "prepaid", prepaid);
    }

    static String request(String id, int prompt, int most, long deadlineMs, String more) {
        return Client.request(
                "POST",
                "/chat/a",
                id,
                deadlineMs,
                "Authorization: Bearer "
                        + KEY
                        + "\r\nHornbeampass-Model: m\r\nHornbeampass-Token-Counts: "
                        + prompt
                        + ","
                        + most
                        + "\r\nHornbeampass-Prompt-Prefix: "
                        + id.substring(8)
                        + ":"
                        + prompt
                        + "\r\nContent-Type: text/plain\r\n"
                        + more,
                "prompt of " + id);
    }

    /** Returns a runner that writes a number of events, with a pause after each. */
    static Runner.Behaviour events(World world, int events, long pauseMs, AtomicLong prompts) {
        return (runner, head, body, out) -> {
            String id = head.header("Hornbeampass-Request-Id");
            world.record.line(runner.id + " runs " + id);
            prompts.addAndGet(
                    Long.parseLong(head.header("Hornbeampass-Token-Counts").split(",")[0]));
            Runner.write(
                    out,
                    Runner.success(head)
                            + "Content-Type: text/event-stream\r\n"
                            + "Transfer-Encoding: chunked\r\n\r\n");
            for (int i = 1; i <= events; i++) {
                World.sleep(pauseMs);
                chunk(out, "id: " + i + "\ndata: " + "t".repeat(20) + "\n\n");
            }
            Runner.write(out, "0\r\n\r\n");
            return true;
        };
    }

    static void chunk(OutputStream out, String text) throws Exception {
        Runner.write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    /** Returns how many whole events a stream held. */
    static int count(byte[] body) {
        String text = new String(body, java.nio.charset.StandardCharsets.ISO_8859_1);
        return text.split("\n\n", -1).length - 1;
    }
}
