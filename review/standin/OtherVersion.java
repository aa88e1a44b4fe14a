package review;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A runner is cut off from the store, crashes behind the cut and starts again under its id with
 * another version of its software, while requesters reach it through the routers.
 */
final class OtherVersion {
    private static final int RUNNERS = 5;
    private static final int EVENTS = 50;
    private static final long PAUSE_MS = 100;
    private static final int PER_S = 12;
    private static final long CUT_MS = Integer.getInteger("cut", 5_000);
    private static final long SILENCE_MS = 3_600;
    private static final long DEADLINE_MS = 12_000;

    private final World mWorld;
    private final AtomicInteger mMixed = new AtomicInteger();
    private final AtomicInteger mWhole = new AtomicInteger();
    private final AtomicInteger mOther = new AtomicInteger();
    private final List<Thread> mThreads = new ArrayList<>();

    private OtherVersion(World world) {
        mWorld = world;
    }

    public static void main(String[] args) {
        World.main((world, trouble) -> new OtherVersion(world).holds(trouble));
    }

    private boolean holds(boolean trouble) throws Exception {
        for (int i = 0; i < RUNNERS; i++) {
            mWorld.addRunner("llm", "zone-" + "abc".charAt(i % 3), 64, this::answer);
        }
        mWorld.putConfig(
                7,
                List.of(Streams.route(true)),
                List.of(Streams.service()),
                List.of(Streams.tenant(10_000_000)));
        mWorld.addRouters("zone-a", "zone-b", "zone-c");
        mWorld.startRouters();
        mWorld.awaitReady(4_000);
        ask(2_000);
        join();
        Runner runner = mWorld.runners.get(0);
        if (trouble) {
            runner.setCutFromStore(true);
            World.thread("cut", () -> behindTheCut(runner));
            World.sleep(1_000);
        }
        ask(6_000);
        join();
        mWorld.record.say(
                mWhole.get()
                        + " whole streams of one version, "
                        + mMixed.get()
                        + " with events of two, "
                        + mOther.get()
                        + " not whole; 2 with events of two are allowed");
        return mMixed.get() <= 2;
    }

    private void behindTheCut(Runner runner) {
        try {
            long sinceMs = World.nowMs();
            World.sleep(200);
            runner.crash();
            World.sleep(300);
            runner.setVersion("v2");
            runner.startAgain();
            World.sleep(sinceMs + SILENCE_MS - World.nowMs());
            mWorld.store.remove("servers", runner.id);
            mWorld.record.line("the entry of " + runner.id + " is removed after its silence");
            World.sleep(sinceMs + CUT_MS - World.nowMs());
            runner.setCutFromStore(false);
            runner.writeEntry();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private boolean answer(Runner runner, Http.Head head, byte[] body, java.io.OutputStream out)
            throws Exception {
        String id = head.header("Hornbeampass-Request-Id");
        String last = head.header("Last-Event-Id");
        String version = runner.version();
        mWorld.record.line(runner.id + " " + version + " runs " + id + ", after " + last);
        Runner.write(
                out,
                Runner.success(head)
                        + "Content-Type: text/event-stream\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n");
        for (int i = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; i <= EVENTS; i++) {
            World.sleep(PAUSE_MS);
            Streams.chunk(out, "id: " + i + "\ndata: by " + runner.id + " " + version + "\n\n");
        }
        Runner.write(out, "0\r\n\r\n");
        return true;
    }

    private void ask(long ms) throws InterruptedException {
        long untilMs = World.nowMs() + ms;
        for (int i = 0; World.nowMs() < untilMs; i++) {
            Router router = mWorld.routers.get(i % mWorld.routers.size());
            mThreads.add(World.thread("requester", () -> askOnce(router)));
            World.sleep(1_000 / PER_S);
        }
    }

    private void join() throws InterruptedException {
        for (Thread each : mThreads) {
            each.join();
        }
        mThreads.clear();
    }

    private void askOnce(Router router) {
        String id = Client.newId();
        Client.Answer answer =
                Client.call(
                        router, id, Streams.request(id, 400, 360, DEADLINE_MS, ""), DEADLINE_MS);
        TreeSet<String> versions = new TreeSet<>();
        TreeSet<String> by = new TreeSet<>();
        String text = new String(answer.body, java.nio.charset.StandardCharsets.ISO_8859_1);
        for (String line : text.split("\n")) {
            if (line.startsWith("data: by ")) {
                by.add(line.substring(9));
                versions.add(line.substring(line.lastIndexOf(' ') + 1));
            }
        }
        if (versions.size() > 1) {
            mMixed.incrementAndGet();
        } else if (answer.complete && answer.status == 200) {
            mWhole.incrementAndGet();
        } else {
            mOther.incrementAndGet();
        }
        mWorld.record.line(
                id + " at " + router.ip + ": " + answer.status + " " + by + " " + answer.fault);
    }
}
