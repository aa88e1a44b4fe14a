package review;

import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Requesters read long answers slowly while their router gets SIGTERM; each would be done well
 * within the grace period.
 */
final class SlowReaders {
    private static final int ANSWER_BYTES = Integer.getInteger("answer", 2_000_000);
    private static final int BYTES_PER_S = Integer.getInteger("rate", 300_000);
    private static final int REQUESTERS = Integer.getInteger("requesters", 6);
    private static final long TIMEOUT_MS = 12_000;
    private static final long GRACE_MS = 8_000;

    private SlowReaders() {}

    public static void main(String[] args) {
        World.main(SlowReaders::holds);
    }

    private static boolean holds(World world, boolean trouble) throws Exception {
        byte[] content = "x".repeat(ANSWER_BYTES).getBytes(StandardCharsets.ISO_8859_1);
        for (String zone : List.of("zone-a", "zone-b")) {
            world.addRunner(
                    "desk",
                    zone,
                    16,
                    (runner, head, body, out) -> {
                        String id = head.header("Hornbeampass-Request-Id");
                        world.record.line(runner.id + " runs " + id);
                        String length = "Content-Length: " + ANSWER_BYTES + "\r\n\r\n";
                        Runner.write(out, Runner.success(head) + length);
                        out.write(content);
                        out.flush();
                        world.record.line(runner.id + " has answered " + id);
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
                                "kind", "idempotent",
                                "timeout-ms", TIMEOUT_MS,
                                "objective-ms", 1000,
                                "max-attempts", 2,
                                "priority", 1,
                                "public", true)),
                List.of(Json.object("name", "desk", "health-path", "/health", "conn-limit", 110)),
                List.of());
        world.addRouters("zone-a", "zone-b", "zone-c");
        world.startRouters();
        world.awaitReady(4_000);
        Router router = world.routers.get(0);
        List<Client.Answer> answers = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < REQUESTERS; i++) {
            Client.Answer answer = new Client.Answer();
            answer.id = Client.newId();
            answers.add(answer);
            threads.add(World.thread("requester", () -> read(world, router, answer)));
        }
        World.sleep(700);
        if (trouble) {
            router.terminate(GRACE_MS);
        }
        for (Thread each : threads) {
            each.join();
        }
        int cut = 0;
        for (Client.Answer each : answers) {
            cut += each.complete ? 0 : 1;
            world.record.say(
                    each.id
                            + " status "
                            + each.status
                            + ", "
                            + (each.complete ? "whole" : "CUT, " + each.fault)
                            + ", after "
                            + (each.endMs - each.startMs)
                            + " ms");
        }
        world.record.say(cut + " of " + REQUESTERS + " answers were cut");
        return cut == 0;
    }

    private static void read(World world, Router router, Client.Answer answer) {
        answer.startMs = World.nowMs();
        try (SocketChannel channel = SocketChannel.open()) {
            SmallSegments.set(channel);
            Socket socket = channel.socket();
            socket.setReceiveBufferSize(4 << 10);
            socket.connect(new InetSocketAddress(router.ip, router.frontPort()), 1_000);
            socket.setSoTimeout((int) TIMEOUT_MS);
            socket.getOutputStream()
                    .write(
                            Client.request("GET", "/desk/a", answer.id, TIMEOUT_MS, "", "")
                                    .getBytes(StandardCharsets.ISO_8859_1));
            world.record.line(answer.id + " is sent to " + router.ip);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 10);
            answer.head = Http.head(in);
            answer.status = answer.head.status();
            byte[] buffer = new byte[4 << 10];
            int got = 0;
            while (got < ANSWER_BYTES) {
                int n = in.read(buffer);
                if (n < 0) {
                    answer.fault = "closed after " + got + " of " + ANSWER_BYTES + " bytes";
                    break;
                }
                got += n;
                World.sleep(answer.startMs + got * 1_000L / BYTES_PER_S - World.nowMs());
            }
            answer.complete = got == ANSWER_BYTES;
        } catch (Exception e) {
            answer.fault = e.toString();
        }
        answer.endMs = World.nowMs();
    }
}
