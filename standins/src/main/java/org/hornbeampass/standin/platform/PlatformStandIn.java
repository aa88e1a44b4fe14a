package org.hornbeampass.standin.platform;

import org.hornbeampass.coordination.platform.MemoryPlatform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.protocol.platform.PlatformPaths;
import org.hornbeampass.standin.admin.Answers;
import org.hornbeampass.standin.admin.FaultsAdmin;
import org.hornbeampass.standin.admin.Routes;
import org.hornbeampass.standin.admin.SerialLoop;
import org.hornbeampass.standin.admin.TimedActions;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.http.HttpExchange;
import org.hornbeampass.transport.http.HttpHandler;
import org.hornbeampass.transport.http.HttpServer;
import org.hornbeampass.transport.http.NettyHttpServer;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Map;

/**
 * A platform stand-in with an HTTP server, for embedding and as a command.
 *
 * <p>Serves the object API of {@link PlatformPaths}, {@code GET /v1/weights/{artifact}}, and below
 * {@code /admin/}: {@code faults}, {@code outage?for_ms=&refused=}, {@code counts}, {@code
 * vms/{name}} (PUT and DELETE), {@code vms} and {@code vm-lag?ms=}. What it holds ends with the
 * process. Thread-safe.
 */
public final class PlatformStandIn implements AutoCloseable {
    private static final long TICK_MS = 5;
    private static final int STATUS_UNAUTHORIZED = 401;
    private static final String VMS = "/admin/vms/";
    private static final String BEARER = "Bearer ";

    private final Clock mClock = Clock.monotonic();
    private final SerialLoop mLoop = new SerialLoop(mClock, "platform-stand-in");
    private final MemoryPlatform mPlatform = new MemoryPlatform();
    private final TimedActions mActions = new TimedActions();
    private final PlatformSettings mSettings;
    private final CallMeter mMeter;
    private final FaultPlan mPlan;
    private final VmDirectory mVms;
    private final ObjectEndpoint mObjects;
    private final WeightEndpoint mWeights;
    private final HttpServer mServer;

    /**
     * What {@code GET /admin/counts} answers.
     *
     * @param calls the calls to the object API by kind
     * @param waitingWatches how many watches wait now
     * @param struck how many calls each kind of fault struck
     * @param downloads the downloads of weights by artifact
     */
    private record Counts(
            Map<PlatformCall.Kind, CallMeter.Count> calls,
            int waitingWatches,
            Map<PlatformFault, Long> struck,
            Map<String, WeightEndpoint.Downloads> downloads) {}

    private PlatformStandIn(PlatformSettings settings) {
        mSettings = settings;
        mMeter = new CallMeter(settings.limits());
        mPlan = new FaultPlan(settings.seed());
        mVms = new VmDirectory(mPlatform, mActions, settings.vmLagMs());
        mObjects = new ObjectEndpoint(mPlatform, mMeter, mPlan, mLoop);
        mWeights = new WeightEndpoint(settings.weights(), mLoop);
        mServer = NettyHttpServer.start(settings.listen().toHttp(), mClock, routes());
        mLoop.run(this::tick);
    }

    /**
     * Starts a platform.
     *
     * @throws IllegalStateException if the address can't be listened on
     */
    public static PlatformStandIn start(PlatformSettings settings) {
        return new PlatformStandIn(settings);
    }

    /** Returns the address that is listened on. */
    public InetSocketAddress address() {
        return mServer.address();
    }

    /** Returns the base URI. */
    public String uri() {
        return "http://" + address().getHostString() + ":" + address().getPort();
    }

    /** Returns the objects themselves, past all counts and faults. */
    public MemoryPlatform objects() {
        return mPlatform;
    }

    /** Returns the plan of faults, to set faults and outages. */
    public FaultPlan plan() {
        return mPlan;
    }

    /** Returns the list of VMs. */
    public VmDirectory vms() {
        return mVms;
    }

    /** Returns the calls by kind. */
    public Map<PlatformCall.Kind, CallMeter.Count> counts() {
        return mMeter.counts();
    }

    /** Starts an outage now, until {@code plan().clear()} or {@link #endOutage}. */
    public void startOutage(boolean refused) {
        mPlan.addOutage(mClock.nowMs(), Long.MAX_VALUE, refused);
    }

    /** Ends all outages; the faults stay. */
    public void endOutage() {
        mPlan.clearOutages();
    }

    @Override
    public void close() {
        mServer.close().join();
        mLoop.close();
    }

    private void tick(long nowMs) {
        mPlatform.expireWatches(nowMs);
        mActions.runDue(nowMs);
        mLoop.at(nowMs + TICK_MS, this::tick);
    }

    private Routes routes() {
        Routes routes = new Routes();
        for (String method : new String[] {"GET", "POST", "PUT", "DELETE"}) {
            routes.add(method, PlatformPaths.OBJECTS + "/", keyed(mObjects));
        }
        routes.add("GET", PlatformPaths.OBJECTS, keyed(mObjects))
                .add("GET", PlatformPaths.WATCH, keyed(mObjects))
                .add("GET", WeightEndpoint.PATH, keyed(mWeights))
                .add("GET", "/admin/counts", (now, exchange) -> count(exchange))
                .add("PUT", "/admin/outage", this::outage)
                .add("DELETE", "/admin/outage", (now, exchange) -> noOutage(exchange))
                .add("GET", "/admin/vms", (now, exchange) -> listVms(exchange))
                .add("PUT", VMS, this::register)
                .add("DELETE", VMS, this::remove)
                .add("PUT", "/admin/vm-lag", (now, exchange) -> vmLag(exchange));
        new FaultsAdmin<>(mPlan.faults(), mPlan::clear).addTo(routes);
        return routes;
    }

    private HttpHandler keyed(HttpHandler handler) {
        return (now, exchange) -> {
            if (hasKey(exchange)) {
                handler.handle(now, exchange);
            } else {
                Answers.error(exchange, STATUS_UNAUTHORIZED, "the bearer key is not known");
            }
        };
    }

    private boolean hasKey(HttpExchange exchange) {
        if (mSettings.key().isEmpty()) {
            return true;
        }
        String given = exchange.header("authorization").orElse("");
        return MessageDigest.isEqual(
                given.getBytes(StandardCharsets.UTF_8),
                (BEARER + mSettings.key()).getBytes(StandardCharsets.UTF_8));
    }

    private void count(HttpExchange exchange) {
        Counts counts =
                new Counts(
                        mMeter.counts(),
                        mObjects.waitingWatches(),
                        mPlan.faults().struck(),
                        mWeights.downloads());
        Answers.json(exchange, Answers.OK, counts);
    }

    private void outage(long nowMs, HttpExchange exchange) {
        boolean refused = exchange.query("refused").map(Boolean::parseBoolean).orElse(false);
        Answers.orError(
                exchange,
                () -> {
                    long untilMs =
                            exchange.query("for_ms")
                                    .map(ms -> nowMs + Long.parseLong(ms))
                                    .orElse(Long.MAX_VALUE);
                    mPlan.addOutage(nowMs, untilMs, refused);
                    Answers.json(exchange, Answers.OK, untilMs);
                });
    }

    private void noOutage(HttpExchange exchange) {
        mPlan.clearOutages();
        Answers.json(exchange, Answers.OK, true);
    }

    private void listVms(HttpExchange exchange) {
        Answers.json(exchange, Answers.OK, mVms.truth());
    }

    private void register(long nowMs, HttpExchange exchange) {
        mVms.register(nowMs, Routes.below(VMS, exchange), Answers.text(exchange));
        listVms(exchange);
    }

    private void remove(long nowMs, HttpExchange exchange) {
        mVms.remove(nowMs, Routes.below(VMS, exchange));
        listVms(exchange);
    }

    private void vmLag(HttpExchange exchange) {
        Answers.orError(
                exchange,
                () -> {
                    long ms = Long.parseLong(exchange.query("ms").orElse("0"));
                    mVms.setLagMs(ms);
                    Answers.json(exchange, Answers.OK, ms);
                });
    }
}
