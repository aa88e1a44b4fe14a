package review;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * All routers lose power at the moment at which the store goes away, to come back from a copy some
 * seconds old. What a tenant gets before and after is counted.
 */
final class RestoredStore {
    private static final long PREPAID = 60_000;
    private static final int PROMPT = 800;
    private static final int MOST = 140;
    private static final int EVENTS = 20;
    private static final long DEADLINE_MS = 12_000;
    private static final int PER_S = 16;
    private static final String KILLED = System.getProperty("killed", "all");
    private static final boolean RESTORED = !Boolean.getBoolean("unrestored");

    private final World mWorld;
    private final AtomicLong mRead = new AtomicLong();
    private final AtomicLong mDelivered = new AtomicLong();
    private final AtomicInteger mServed = new AtomicInteger();
    private final AtomicInteger mRefused = new AtomicInteger();
    private final List<Thread> mThreads = new ArrayList<>();

    private RestoredStore(World world) {
        mWorld = world;
    }

    public static void main(String[] args) {
        World.main((world, trouble) -> new RestoredStore(world).holds(trouble));
    }

    private boolean holds(boolean trouble) throws Exception {
        for (String zone : List.of("zone-a", "zone-b")) {
            mWorld.addRunner("llm", zone, 64, Streams.events(mWorld, EVENTS, 10, mRead));
        }
        config();
        mWorld.addRouters("zone-a", "zone-b", "zone-c");
        mWorld.startRouters();
        mWorld.awaitReady(6_000);
        ask(1_000);
        Store.Copy copy = mWorld.store.copy();
        mWorld.record.line("the store's copy is made");
        ask(4_000);
        join();
        report("before");
        if (trouble) {
            mWorld.store.setAway(true);
            for (int i = 0; i < mWorld.routers.size(); i++) {
                if (KILLED.equals("all") || KILLED.contains("" + i)) {
                    mWorld.routers.get(i).kill();
                    mWorld.record.line("router " + mWorld.routers.get(i).ip + " loses power");
                }
            }
            World.sleep(1_000);
            if (RESTORED) {
                mWorld.store.restore(copy);
            }
            mWorld.store.setAway(false);
            config();
            mWorld.runners.forEach(Runner::writeEntry);
            World.sleep(500);
            for (Router each : mWorld.routers) {
                if (!each.isRunning()) {
                    each.start();
                }
            }
        }
        mWorld.awaitReady(4_000);
        ask(8_000);
        join();
        report("at the end");
        return mRead.get() + mDelivered.get() <= PREPAID;
    }

    private void config() {
        mWorld.putConfig(
                7,
                List.of(Streams.route(false)),
                List.of(Streams.service()),
                List.of(Streams.tenant(PREPAID)));
    }

    private void report(String when) {
        mWorld.record.say(
                when
                        + ": served "
                        + mServed.get()
                        + ", refused "
                        + mRefused.get()
                        + "; prompts "
                        + mRead.get()
                        + " + delivered "
                        + mDelivered.get()
                        + " = "
                        + (mRead.get() + mDelivered.get())
                        + " tokens of "
                        + PREPAID
                        + " prepaid");
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
        String request = Streams.request(id, PROMPT, MOST, DEADLINE_MS, "");
        Client.Answer answer = Client.call(router, id, request, DEADLINE_MS);
        if (answer.status == 200) {
            mServed.incrementAndGet();
            mDelivered.addAndGet(Streams.count(answer.body) * (long) Streams.STRIDE);
        } else {
            mRefused.incrementAndGet();
        }
        mWorld.record.line(id + " at " + router.ip + ": " + answer.status + " " + answer.fault);
    }
}
