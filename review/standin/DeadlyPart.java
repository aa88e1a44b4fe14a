package review;

import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A part of prompts crashes each runner that begins to write an answer on it. All routers lose
 * power once, after the fourth crash; what reaches runners after the fifth crash is counted.
 */
final class DeadlyPart {
    private static final int RUNNERS = 6;
    private static final String DEADLY = "d0d0d0d0";
    private static final String SHARED = "5a5a5a5a";
    private static final long BACK_MS = 3_000;
    private static final long CONTACT_MS = 3_000;
    private static final long GAP_MS = 4_000;
    private static final int DEADLY_REQUESTS = 13;
    private static final int KILL_AFTER = Integer.getInteger("kill", 4);
    private static final long DEADLINE_MS = 8_000;

    private final World mWorld;
    private final List<Long> mCrashesMs = new ArrayList<>();
    private final AtomicInteger mCounted = new AtomicInteger();
    private final AtomicInteger mSound = new AtomicInteger();
    private final AtomicInteger mSoundServed = new AtomicInteger();
    private volatile boolean mOver;

    private DeadlyPart(World world) {
        mWorld = world;
    }

    public static void main(String[] args) {
        World.main((world, trouble) -> new DeadlyPart(world).holds(trouble));
    }

    private boolean holds(boolean trouble) throws Exception {
        for (int i = 0; i < RUNNERS; i++) {
            mWorld.addRunner("llm", "zone-" + "abc".charAt(i % 3), 64, this::answer);
        }
        mWorld.putConfig(
                7,
                List.of(Streams.route(false)),
                List.of(Streams.service()),
                List.of(Streams.tenant(100_000_000)));
        mWorld.addRouters("zone-a", "zone-b", "zone-c");
        mWorld.startRouters();
        mWorld.awaitReady(4_000);
        World.thread("sound requesters", this::askSound);
        World.sleep(1_000);
        for (int i = 0; i < DEADLY_REQUESTS; i++) {
            Router router = mWorld.routers.get(i % mWorld.routers.size());
            World.thread("deadly requester", () -> ask(router, DEADLY));
            World.sleep(GAP_MS / 2);
            if (trouble && i + 1 == KILL_AFTER) {
                losePower();
                World.sleep(1_000);
                for (Router each : mWorld.routers) {
                    each.start();
                }
                mWorld.awaitReady(CONTACT_MS);
            }
            World.sleep(GAP_MS / 2);
        }
        mOver = true;
        World.sleep(1_000);
        mWorld.record.say(
                mCrashesMs.size()
                        + " crashes; requests with the part that reached runners later than "
                        + CONTACT_MS
                        + " ms after the fifth: "
                        + mCounted.get()
                        + ", 3 are allowed; sound requests served: "
                        + mSoundServed.get()
                        + " of "
                        + mSound.get());
        return mCounted.get() <= 3;
    }

    private void losePower() {
        for (Router each : mWorld.routers) {
            each.kill();
            mWorld.record.line("router " + each.ip + " loses power");
        }
    }

    private boolean answer(Runner runner, Http.Head head, byte[] body, OutputStream out)
            throws Exception {
        String id = head.header("Hornbeampass-Request-Id");
        if (!head.header("Hornbeampass-Prompt-Prefix").contains(DEADLY)) {
            Runner.write(
                    out,
                    Runner.success(head)
                            + "Content-Type: text/event-stream\r\n"
                            + "Transfer-Encoding: chunked\r\n\r\n");
            for (int i = 1; i <= 5; i++) {
                World.sleep(40);
                Streams.chunk(out, "id: " + i + "\ndata: x\n\n");
            }
            Runner.write(out, "0\r\n\r\n");
            return true;
        }
        synchronized (mCrashesMs) {
            long nowMs = World.nowMs();
            boolean counts =
                    mCrashesMs.size() >= 5 && nowMs - mCrashesMs.get(4) > CONTACT_MS;
            if (counts) {
                mCounted.incrementAndGet();
            }
            mCrashesMs.add(nowMs);
            mWorld.record.line(
                    runner.id
                            + " begins "
                            + id
                            + " with the part, crash "
                            + mCrashesMs.size()
                            + (counts ? ", counted" : ""));
        }
        World.sleep(20);
        runner.crash();
        World.thread("back", () -> back(runner));
        return false;
    }

    private void back(Runner runner) {
        try {
            World.sleep(BACK_MS);
            if (!mOver) {
                runner.startAgain();
            }
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private void askSound() {
        try {
            for (int i = 0; !mOver; i++) {
                Router router = mWorld.routers.get(i % mWorld.routers.size());
                String part = "e" + (1 + i % 5) + "000000";
                World.thread("sound requester", () -> ask(router, part));
                World.sleep(125);
            }
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private void ask(Router router, String part) {
        String id = Client.newId();
        String request =
                Streams.request(id, 400, 70, DEADLINE_MS, "")
                        .replace(
                                "Prefix: " + id.substring(8) + ":400",
                                "Prefix: " + SHARED + ":200," + part + ":150," + id.substring(8)
                                        + ":50");
        Client.Answer answer = Client.call(router, id, request, DEADLINE_MS);
        boolean served = answer.status == 200 && answer.complete;
        if (!part.equals(DEADLY)) {
            mSound.incrementAndGet();
            mSoundServed.addAndGet(served ? 1 : 0);
        }
        if (!served || part.equals(DEADLY)) {
            mWorld.record.line(
                    id
                            + (part.equals(DEADLY) ? " (deadly)" : "")
                            + " at "
                            + router.ip
                            + ": "
                            + answer.status
                            + " "
                            + answer.fault
                            + " "
                            + new String(answer.body, java.nio.charset.StandardCharsets.ISO_8859_1)
                                    .lines().findFirst().orElse(""));
        }
    }
}
