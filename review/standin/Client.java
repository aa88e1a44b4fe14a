package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** A requester's attempts, each on a new connection. */
final class Client {
    private static final AtomicLong IDS = new AtomicLong(0x5a00_0000L);

    /** The answer of one attempt; status 0 where there was none. */
    static final class Answer {
        String id = "";
        int status;
        Http.Head head = new Http.Head();
        byte[] body = {};
        boolean complete;
        String fault = "";
        long startMs;
        long endMs;
    }

    private Client() {}

    static String newId() {
        return String.format("%016x", IDS.incrementAndGet());
    }

    /** Returns the text of a request; {@code headers} ends with a line end or is empty. */
    static String request(
            String method, String path, String id, long deadlineMs, String headers, String body) {
        return method
                + " "
                + path
                + " HTTP/1.1\r\nHost: api.example\r\nHornbeampass-Request-Id: "
                + id
                + "\r\nHornbeampass-Deadline-Ms: "
                + deadlineMs
                + "\r\n"
                + headers
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    /** Sends one request and reads the whole answer, until the requester's time is over. */
    static Answer call(Router router, String id, String request, long deadlineMs) {
        Answer answer = new Answer();
        answer.id = id;
        answer.startMs = World.nowMs();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(router.ip, router.frontPort()), 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) deadlineMs);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Head head = Http.head(in);
            if (head == null) {
                answer.fault = "closed without an answer";
            } else {
                answer.head = head;
                answer.status = head.status();
                answer.body = Http.body(in, head);
                answer.complete = true;
            }
        } catch (IOException e) {
            answer.fault = e.toString();
        }
        answer.endMs = World.nowMs();
        return answer;
    }
}
