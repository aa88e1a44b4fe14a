package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Stream;

/** A small deployment on loopback addresses: the store, the routers and the runners of a case. */
final class World implements AutoCloseable {
    private static final long START_NS = System.nanoTime();

    /** The bounds of the example in DEPLOY.md. */
    static final Map<String, Object> BOUNDS =
            Json.object(
                    "contact-ms", 3000,
                    "drain-ms", 2000,
                    "grace-s", 8,
                    "config-apply-ms", 2000,
                    "retry-budget-ratio", 0.2,
                    "budget-window-s", 10,
                    "budget-extra", 56);

    /** What one case does; returns whether the rule held. */
    interface Case {
        boolean holds(World world, boolean trouble) throws Exception;
    }

    final Record record;
    final Store store;
    final Path dir;
    final Path repository;
    final List<Router> routers = new ArrayList<>();
    final List<Runner> runners = new ArrayList<>();
    private final int[] mPorts = new int[4];
    private final String mNetwork;

    World(Path recordFile) throws IOException {
        record = new Record(recordFile);
        repository = Path.of("").toAbsolutePath();
        dir = Files.createTempDirectory("review");
        store = new Store(record);
        Random random = new Random();
        mNetwork = "127." + (1 + random.nextInt(250)) + "." + random.nextInt(250) + ".";
        for (int i = 0; i < mPorts.length; i++) {
            try (ServerSocket socket =
                    new ServerSocket(0, 1, InetAddress.getByName(mNetwork + "20"))) {
                mPorts[i] = socket.getLocalPort();
            }
        }
    }

    /** Runs a case and ends the program with its verdict. */
    static void main(Case what) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (World world = new World(Path.of(System.getProperty("record")))) {
            Thread hook = new Thread(world::close);
            Runtime.getRuntime().addShutdownHook(hook);
            try {
                code = what.holds(world, trouble) ? 0 : 1;
            } catch (Exception e) {
                e.printStackTrace();
                world.record.line("the case could not run: " + e);
            }
        } catch (IOException e) {
            e.printStackTrace();
        }
        System.out.println(
                code == 0 ? "the rule held" : code == 1 ? "the rule was broken" : "no result");
        System.exit(code);
    }

    static long nowMs() {
        return (System.nanoTime() - START_NS) / 1_000_000;
    }

    static Thread thread(String name, Runnable work) {
        Thread thread = new Thread(null, work, name, 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long ms) throws InterruptedException {
        Thread.sleep(Math.max(0, ms));
    }

    /** Creates routers in the given failure domains, one for each, which are not started yet. */
    void addRouters(String... zones) {
        Map<String, Object> regions = new LinkedHashMap<>();
        for (String zone : zones) {
            regions.put(zone, "region-a");
        }
        List<Object> seeds = new ArrayList<>();
        for (int i = 0; i < zones.length && i < 3; i++) {
            seeds.add(mNetwork + (20 + i) + ":" + mPorts[3]);
        }
        for (int i = 0; i < zones.length; i++) {
            String ip = mNetwork + (20 + i);
            Map<String, Object> settings =
                    Json.object(
                            "node", "front-" + zones[i] + "-" + i,
                            "role", "router",
                            "ip", ip,
                            "zone", zones[i],
                            "region", "region-a",
                            "zones", regions,
                            "listen",
                                    Json.object(
                                            "front", ip + ":" + mPorts[0],
                                            "ready", ip + ":" + mPorts[1],
                                            "directory", ip + ":" + mPorts[2],
                                            "control", ip + ":" + mPorts[3]),
                            "seeds", seeds,
                            "platform", Json.object("address", "127.0.0.1:" + store.port()),
                            "bounds", BOUNDS,
                            "beat-interval-ms", 1200,
                            "contracts",
                                    List.of(
                                            "base", "drain", "config", "cost", "retry", "recover",
                                            "engine", "stream", "tenants", "platform"));
            routers.add(new Router(this, i, ip, settings));
        }
    }

    void startRouters() throws IOException {
        for (Router each : routers) {
            each.start();
        }
    }

    /** Waits until all routers are ready, and some time more in which they learn of each other. */
    void awaitReady(long moreMs) throws Exception {
        long untilMs = nowMs() + 30_000;
        for (Router each : routers) {
            while (!each.isReady()) {
                if (nowMs() > untilMs) {
                    throw new IllegalStateException(each.ip + " is not ready");
                }
                sleep(50);
            }
        }
        sleep(moreMs);
        record.line("all routers are ready");
    }

    Runner addRunner(String service, String zone, int slots, Runner.Behaviour behaviour)
            throws IOException {
        Runner runner = new Runner(this, "i-" + (100 + runners.size()), service, zone, slots);
        runner.behave(behaviour);
        runners.add(runner);
        return runner;
    }

    /** Writes a configuration, as the operator does. */
    void putConfig(
            long version, List<Object> routes, List<Object> services, List<Object> tenants) {
        Map<String, Object> config =
                Json.object(
                        "version", version,
                        "routes", routes,
                        "services", services,
                        "limits",
                                Json.object(
                                        "max-header-bytes", 16384,
                                        "max-body-bytes", 4194304,
                                        "header-timeout-ms", 5000,
                                        "idle-timeout-ms", 10000));
        if (!tenants.isEmpty()) {
            config.put("tenants", tenants);
        }
        store.put("config", "main", config);
        record.line("operator writes config " + version);
    }

    /** Returns whether something accepts connections at an address. */
    static boolean accepts(String host, int port) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, port), 500);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void close() {
        for (Router each : routers) {
            each.kill();
        }
        for (Runner each : runners) {
            each.close();
        }
        try {
            store.close();
        } catch (IOException e) {
            // Nothing is left to do.
        }
        record.close();
        try (Stream<Path> files = Files.walk(dir)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        } catch (IOException e) {
            // The folder is a temporary one.
        }
    }
}
