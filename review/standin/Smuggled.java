package review;

import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A requester lists Content-Length in the Connection header of a request whose body looks like a
 * request of another tenant.
 */
final class Smuggled {
    private static final int REQUESTS = 10;
    private static final long DEADLINE_MS = 4_000;
    private static final String OTHER_TENANT = "victim";

    private Smuggled() {}

    public static void main(String[] args) {
        World.main(Smuggled::holds);
    }

    private static boolean holds(World world, boolean trouble) throws Exception {
        Set<String> sent = ConcurrentHashMap.newKeySet();
        Set<String> unasked = ConcurrentHashMap.newKeySet();
        for (String zone : List.of("zone-a", "zone-b")) {
            world.addRunner(
                    "desk",
                    zone,
                    16,
                    (runner, head, body, out) -> {
                        String id = head.header("Hornbeampass-Request-Id");
                        world.record.line(
                                runner.id
                                        + " runs "
                                        + id
                                        + ": "
                                        + head.line
                                        + ", tenant "
                                        + head.header("Hornbeampass-Tenant")
                                        + ", body of "
                                        + body.length
                                        + " bytes");
                        if (!sent.contains(id)) {
                            unasked.add(id);
                        }
                        Runner.write(out, Runner.success(head) + "Content-Length: 4\r\n\r\ndone");
                        return true;
                    });
        }
        world.putConfig(
                7,
                List.of(
                        Json.object(
                                "name", "r1",
                                "host", "api.example",
                                "path-prefix", "/desk/",
                                "service", "desk",
                                "kind", "non_idempotent",
                                "timeout-ms", 4000,
                                "objective-ms", 400,
                                "max-attempts", 1,
                                "priority", 1)),
                List.of(Json.object("name", "desk", "health-path", "/health", "conn-limit", 110)),
                List.of(
                        Json.object(
                                "name", "acme",
                                "api-keys", List.of(Streams.KEY),
                                "priority", 1,
                                "prepaid", 1_000_000),
                        Json.object(
                                "name", OTHER_TENANT,
                                "api-keys", List.of("key-of-the-victim-1"),
                                "priority", 1,
                                "prepaid", 1_000_000)));
        world.addRouters("zone-a", "zone-b", "zone-c");
        world.startRouters();
        world.awaitReady(2_000);
        for (int i = 0; i < REQUESTS; i++) {
            String id = Client.newId();
            String hidden = Client.newId();
            sent.add(id);
            String inner =
                    "POST /desk/hidden HTTP/1.1\r\nHost: api.example\r\n"
                            + "Hornbeampass-Request-Id: "
                            + hidden
                            + "\r\nHornbeampass-Tenant: "
                            + OTHER_TENANT
                            + "\r\nContent-Length: 0\r\n\r\n";
            String connection = trouble ? "keep-alive, Content-Length" : "keep-alive";
            String request =
                    Client.request(
                            "POST",
                            "/desk/a",
                            id,
                            DEADLINE_MS,
                            "Authorization: Bearer "
                                    + Streams.KEY
                                    + "\r\nConnection: "
                                    + connection
                                    + "\r\n",
                            inner);
            Router router = world.routers.get(i % world.routers.size());
            Client.Answer answer = Client.call(router, id, request, DEADLINE_MS);
            world.record.say(
                    id + " at " + router.ip + " (hides " + hidden + "): " + answer.status + " "
                            + answer.fault);
        }
        World.sleep(500);
        world.record.say(
                unasked.size() + " of " + REQUESTS + " hidden requests were run by runners");
        return unasked.isEmpty();
    }
}
