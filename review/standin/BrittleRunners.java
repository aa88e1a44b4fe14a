package review;

import java.io.OutputStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The runners of a service say in all their answers that they are brittle, let fewer requests wait
 * from {@code contact-ms} later, and fall over where they have to turn more than N away in a
 * second. A burst comes meanwhile.
 */
final class BrittleRunners {
    private static final int RUNNERS = 3;
    private static final int SLOTS = 6;
    private static final int WORK_MS = 60;
    private static final int USUAL_QUEUE = 24;
    private static final int BRITTLE_QUEUE = 4;
    private static final int MOST_REJECTED = Integer.getInteger("n", 20);
    private static final double USUAL_PER_S = Double.parseDouble(System.getProperty("load", "210"));
    private static final double BURST = Double.parseDouble(System.getProperty("burst", "1.7"));
    private static final long BURST_MS = 3_000;
    private static final long BACK_MS = 4_000;
    private static final long CONTACT_MS = 3_000;
    private static final long DEADLINE_MS = 4_000;

    /** A runner with places, a queue and a count of what it turned away. */
    private static final class Brittle implements Runner.Behaviour {
        private final World mWorld;
        private final BrittleRunners mCase;
        private final Semaphore mPlaces = new Semaphore(SLOTS, true);
        private final AtomicInteger mWaiting = new AtomicInteger();
        private final ArrayDeque<Long> mRejected = new ArrayDeque<>();

        Brittle(World world, BrittleRunners brittle) {
            mWorld = world;
            mCase = brittle;
        }

        @Override
        public boolean answer(Runner runner, Http.Head head, byte[] body, OutputStream out)
                throws Exception {
            long nowMs = World.nowMs();
            boolean brittle = nowMs >= mCase.mBrittleFromMs;
            boolean fewer = nowMs >= mCase.mBrittleFromMs + CONTACT_MS;
            String says = brittle ? "Server-Brittle: " + MOST_REJECTED + "\r\n" : "";
            if (!mPlaces.tryAcquire()) {
                if (mWaiting.incrementAndGet() > (fewer ? BRITTLE_QUEUE : USUAL_QUEUE)) {
                    mWaiting.decrementAndGet();
                    reject(runner, head, out, says, fewer);
                    return true;
                }
                mPlaces.acquire();
                mWaiting.decrementAndGet();
            }
            try {
                World.sleep(WORK_MS);
            } finally {
                mPlaces.release();
            }
            String id = head.header("Hornbeampass-Request-Id");
            if (!runner.isUp()) {
                mCase.mLost.incrementAndGet();
                return false;
            }
            mWorld.record.line(runner.id + " has run " + id);
            Runner.write(out, Runner.success(head) + says + "Content-Length: 4\r\n\r\ndone");
            return true;
        }

        private void reject(
                Runner runner, Http.Head head, OutputStream out, String says, boolean falls)
                throws Exception {
            boolean tooMany;
            long nowMs = World.nowMs();
            synchronized (mRejected) {
                mRejected.add(nowMs);
                while (mRejected.peek() <= nowMs - 1_000) {
                    mRejected.poll();
                }
                tooMany = falls && mRejected.size() > MOST_REJECTED;
            }
            mCase.mRejections.incrementAndGet();
            mWorld.record.line(
                    runner.id + " rejects " + head.header("Hornbeampass-Request-Id"));
            if (!tooMany) {
                Runner.reject(head, out, says);
                return;
            }
            synchronized (mRejected) {
                mRejected.clear();
            }
            if (mCase.mDown.get(Integer.parseInt(runner.id.substring(2)) - 100)
                    .compareAndSet(false, true)) {
                mCase.mFalls.incrementAndGet();
                mWorld.record.line(runner.id + " FALLS OVER");
                runner.crash();
                World.thread("back", () -> mCase.back(runner));
            }
        }
    }

    private final World mWorld;
    private final AtomicInteger mFalls = new AtomicInteger();
    private final AtomicInteger mRejections = new AtomicInteger();
    private final AtomicInteger mLost = new AtomicInteger();
    private final AtomicInteger mServed = new AtomicInteger();
    private final AtomicInteger mOther = new AtomicInteger();
    private final List<AtomicBoolean> mDown = new ArrayList<>();
    private volatile long mBrittleFromMs = Long.MAX_VALUE / 2;
    private volatile boolean mOver;

    private BrittleRunners(World world) {
        mWorld = world;
    }

    public static void main(String[] args) {
        World.main((world, trouble) -> new BrittleRunners(world).holds(trouble));
    }

    private void back(Runner runner) {
        try {
            World.sleep(BACK_MS);
            if (!mOver) {
                runner.startAgain();
                mDown.get(Integer.parseInt(runner.id.substring(2)) - 100).set(false);
            }
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private boolean holds(boolean trouble) throws Exception {
        for (int i = 0; i < RUNNERS; i++) {
            mDown.add(new AtomicBoolean());
            mWorld.addRunner("desk", "zone-" + "abc".charAt(i), SLOTS, new Brittle(mWorld, this));
        }
        mWorld.putConfig(
                7,
                List.of(
                        Json.object(
                                "name", "r1",
                                "host", "api.example",
                                "path-prefix", "/desk/",
                                "service", "desk",
                                "kind", "idempotent",
                                "timeout-ms", 2000,
                                "objective-ms", 300,
                                "max-attempts", 2,
                                "priority", 1,
                                "public", true)),
                List.of(Json.object("name", "desk", "health-path", "/health", "conn-limit", 110)),
                List.of());
        mWorld.addRouters("zone-a", "zone-b", "zone-c");
        mWorld.startRouters();
        mWorld.awaitReady(4_000);
        ask(4_000, USUAL_PER_S);
        if (trouble) {
            mBrittleFromMs = World.nowMs();
            mWorld.record.line("the runners are brittle from now on");
        }
        ask(4_000, USUAL_PER_S);
        mWorld.record.line("a burst begins");
        ask(BURST_MS, USUAL_PER_S * BURST);
        mWorld.record.line("the burst has ended");
        ask(6_000, USUAL_PER_S);
        mOver = true;
        World.sleep(2_000);
        double most = 2 + 0.1 * RUNNERS;
        mWorld.record.say(
                "served "
                        + mServed.get()
                        + ", other answers "
                        + mOther.get()
                        + ", turned away by runners "
                        + mRejections.get()
                        + ", runs lost by falls "
                        + mLost.get());
        mWorld.record.say(mFalls.get() + " falls, " + most + " are allowed");
        return mFalls.get() <= most;
    }

    private void ask(long ms, double perS) throws InterruptedException {
        Random random = new Random(7);
        double nextMs = World.nowMs();
        double untilMs = nextMs + ms;
        while (nextMs < untilMs) {
            nextMs += -Math.log(1 - random.nextDouble()) * 1_000 / perS;
            World.sleep((long) nextMs - World.nowMs());
            Router router = mWorld.routers.get(random.nextInt(mWorld.routers.size()));
            World.thread("requester", () -> askOnce(router));
        }
    }

    private void askOnce(Router router) {
        String id = Client.newId();
        String request = Client.request("GET", "/desk/a", id, DEADLINE_MS, "", "");
        Client.Answer answer = Client.call(router, id, request, DEADLINE_MS);
        (answer.status == 200 ? mServed : mOther).incrementAndGet();
        mWorld.record.line(id + " at " + router.ip + ": " + answer.status + " " + answer.fault);
    }
}
