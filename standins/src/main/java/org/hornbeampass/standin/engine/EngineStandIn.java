package org.hornbeampass.standin.engine;

import io.vavr.control.Either;

import org.hornbeampass.standin.admin.Answers;
import org.hornbeampass.standin.admin.Faults;
import org.hornbeampass.standin.admin.FaultsAdmin;
import org.hornbeampass.standin.admin.Routes;
import org.hornbeampass.standin.admin.SerialLoop;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.Json;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.http.HttpClient;
import org.hornbeampass.transport.http.HttpExchange;
import org.hornbeampass.transport.http.HttpHandler;
import org.hornbeampass.transport.http.HttpServer;
import org.hornbeampass.transport.http.NettyHttpClient;
import org.hornbeampass.transport.http.NettyHttpServer;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.ObjLongConsumer;

/**
 * A model engine stand-in with an HTTP server, for embedding and as a command.
 *
 * <p>Serves {@code POST /v1/chat/completions}, {@code GET /v1/models}, {@code POST
 * /v1/cancel/{attempt}}, {@code GET /v1/load}, {@code GET /v1/cache-events?after=}, {@code POST
 * /v1/orders}, and below {@code /admin/}: {@code faults}, {@code leaving}, {@code load-lag?ms=},
 * {@code runs?request=} and {@code orders}. Thread-safe: all state is touched on one loop only.
 */
public final class EngineStandIn implements AutoCloseable {
    private static final int MAX_CACHE_EVENTS = 1_000;
    private static final int STATUS_CONFLICT = 409;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final Map<String, String> LEAVING_HEADERS =
            Map.of(EngineHeaders.LEAVING, "true", "content-type", "application/json");

    private final SerialLoop mLoop;
    private final EngineModel mModel;
    private final Catalogue mCatalogue;
    private final Faults<EngineFault> mFaults;
    private final Completions mCompletions;
    private final HttpClient mClient;
    private final WeightSource mWeights;
    private final HttpServer mServer;
    private final AtomicLong mRefusedLeaving = new AtomicLong();
    private boolean mLeaving;

    /**
     * What {@code GET /v1/load} answers.
     *
     * @param load the load, late by the lag
     * @param leaving whether the engine is leaving
     * @param role its role
     * @param models what it holds
     * @param highestFencing the highest fencing number that it has seen
     */
    public record Status(
            LoadReport load,
            boolean leaving,
            String role,
            List<ServedModel> models,
            long highestFencing) {}

    /** What {@code POST /v1/cancel/} answers. */
    private record Cancelled(boolean cancelled, int generated) {}

    /** One entry of {@code GET /v1/models}. */
    private record ModelEntry(String id, String object) {}

    /** What {@code GET /v1/models} answers. */
    private record ModelList(String object, List<ModelEntry> data) {}

    /** The body of {@code POST /admin/leaving}. */
    private record Leaving(boolean leaving) {}

    private EngineStandIn(EngineSettings settings) {
        Clock clock = Clock.monotonic();
        mLoop = new SerialLoop(clock, "engine-stand-in");
        mModel = new EngineModel(settings.timing(), settings.news());
        mCatalogue =
                new Catalogue(
                        settings.models(),
                        settings.behaviour().role(),
                        settings.behaviour().checksFencing());
        mFaults = new Faults<>(EngineFault.class, settings.behaviour().seed());
        mCompletions =
                new Completions(
                        mLoop,
                        mModel,
                        mCatalogue,
                        mFaults,
                        settings.behaviour().meanAnswerTokens());
        mClient = NettyHttpClient.create(clock);
        mWeights = weights(settings.weights());
        mServer = NettyHttpServer.start(settings.listen().toHttp(), clock, routes());
    }

    /**
     * Starts an engine.
     *
     * @throws IllegalStateException if the address can't be listened on
     */
    public static EngineStandIn start(EngineSettings settings) {
        return new EngineStandIn(settings);
    }

    /** Returns the address that is listened on. */
    public InetSocketAddress address() {
        return mServer.address();
    }

    /** Returns the base URI. */
    public String uri() {
        return "http://" + address().getHostString() + ":" + address().getPort();
    }

    /** Returns the faults, to set and clear. */
    public Faults<EngineFault> faults() {
        return mFaults;
    }

    /** Makes the engine leave, or come back; done when the future is. */
    public CompletableFuture<Void> setLeaving(boolean leaving) {
        return onLoop(
                (now, done) -> {
                    mLeaving = leaving;
                    done.complete(null);
                });
    }

    /** Returns how many completions were sent here while it was leaving, and refused. */
    public long refusedWhileLeaving() {
        return mRefusedLeaving.get();
    }

    /** Returns the runs of one request, or of all for an empty id. */
    public CompletableFuture<RunLedger.Report> runs(String requestId) {
        return onLoop((now, done) -> done.complete(mCompletions.ledger().report(requestId)));
    }

    /** Returns all orders that were received. */
    public CompletableFuture<List<Catalogue.Applied>> orders() {
        return onLoop((now, done) -> done.complete(mCatalogue.applied()));
    }

    @Override
    public void close() {
        mServer.close().join();
        mClient.close();
        mLoop.close();
    }

    /** An action on the loop that completes a future. */
    private interface LoopAction<T> {
        void run(long nowMs, CompletableFuture<T> done);
    }

    private <T> CompletableFuture<T> onLoop(LoopAction<T> action) {
        CompletableFuture<T> done = new CompletableFuture<>();
        mLoop.run(now -> action.run(now, done));
        return done;
    }

    private WeightSource weights(EngineSettings.Weights settings) {
        if (settings.store().isPresent()) {
            return new StoreWeightSource(mClient, settings.store().get(), settings.key());
        }
        return (now, artifact, done) ->
                mLoop.at(now + settings.loadMs(), later -> done.accept(true));
    }

    private Routes routes() {
        Routes routes =
                new Routes()
                        .add("POST", "/v1/chat/completions", work(this::complete))
                        .add("GET", "/v1/models", work(this::models))
                        .add("POST", "/v1/cancel/", work(this::cancel))
                        .add("GET", "/v1/load", work(this::load))
                        .add("GET", "/v1/cache-events", work(this::cacheEvents))
                        .add("POST", "/v1/orders", work(this::order))
                        .add("POST", "/admin/leaving", admin(this::leave))
                        .add("PUT", "/admin/load-lag", admin(this::loadLag))
                        .add("GET", "/admin/runs", admin(this::runs))
                        .add("GET", "/admin/orders", admin(this::orders));
        new FaultsAdmin<>(mFaults, () -> {}).addTo(routes);
        return routes;
    }

    private HttpHandler work(ObjLongConsumer<HttpExchange> action) {
        return (now, exchange) -> {
            if (mFaults.take(EngineFault.REFUSE).isPresent()) {
                exchange.abort();
                return;
            }
            mLoop.run(t -> Answers.orError(exchange, () -> action.accept(exchange, t)));
        };
    }

    private HttpHandler admin(Consumer<HttpExchange> action) {
        return (now, exchange) ->
                mLoop.run(t -> Answers.orError(exchange, () -> action.accept(exchange)));
    }

    private void complete(HttpExchange exchange, long nowMs) {
        if (mLeaving) {
            mRefusedLeaving.incrementAndGet();
            exchange.respond(
                    STATUS_UNAVAILABLE,
                    LEAVING_HEADERS,
                    Answers.bytes("{\"error\":{\"message\":\"the engine is leaving\"}}"));
            return;
        }
        mCompletions.take(nowMs, exchange);
    }

    private void models(HttpExchange exchange, long nowMs) {
        List<ModelEntry> ready =
                mCatalogue.models().stream()
                        .filter(m -> m.readyVersion().isPresent())
                        .map(m -> new ModelEntry(m.name(), "model"))
                        .toList();
        Answers.json(exchange, Answers.OK, new ModelList("list", ready));
    }

    private void cancel(HttpExchange exchange, long nowMs) {
        OptionalInt generated = mCompletions.cancel(nowMs, Routes.below("/v1/cancel/", exchange));
        Answers.json(
                exchange, Answers.OK, new Cancelled(generated.isPresent(), generated.orElse(0)));
    }

    private void load(HttpExchange exchange, long nowMs) {
        Status status =
                new Status(
                        mModel.reportedLoad(nowMs),
                        mLeaving,
                        mCatalogue.role(),
                        mCatalogue.models(),
                        mCatalogue.highestFencing());
        Answers.json(exchange, Answers.OK, status);
    }

    private void cacheEvents(HttpExchange exchange, long nowMs) {
        long after = Long.parseLong(exchange.query("after").orElse("0"));
        Answers.json(exchange, Answers.OK, mModel.cacheEvents(nowMs, after, MAX_CACHE_EVENTS));
    }

    private void order(HttpExchange exchange, long nowMs) {
        Either<Failure, Order> order = Json.decode(Answers.text(exchange), Order.class);
        if (order.isLeft()) {
            Answers.error(exchange, Answers.BAD_REQUEST, order.getLeft().message());
            return;
        }
        Catalogue.Reply reply = mCatalogue.apply(order.get());
        reply.fetch().ifPresent(artifact -> fetch(nowMs, artifact));
        int status = reply.outcome() == Catalogue.Outcome.APPLIED ? Answers.OK : STATUS_CONFLICT;
        Answers.json(exchange, status, reply);
    }

    private void fetch(long nowMs, String artifact) {
        mWeights.fetch(
                nowMs,
                artifact,
                whole ->
                        mLoop.run(
                                t -> {
                                    if (whole) {
                                        mCatalogue.loaded(artifact);
                                    } else {
                                        mCatalogue.loadFailed(artifact);
                                    }
                                }));
    }

    private void leave(HttpExchange exchange) {
        String body = Answers.text(exchange);
        mLeaving =
                body.isBlank()
                        || Json.decode(body, Leaving.class).map(Leaving::leaving).getOrElse(true);
        Answers.json(exchange, Answers.OK, new Leaving(mLeaving));
    }

    private void loadLag(HttpExchange exchange) {
        long ms = Long.parseLong(exchange.query("ms").orElse("0"));
        mModel.setLoadLagMs(ms);
        Answers.json(exchange, Answers.OK, ms);
    }

    private void runs(HttpExchange exchange) {
        String request = exchange.query("request").orElse("");
        Answers.json(exchange, Answers.OK, mCompletions.ledger().report(request));
    }

    private void orders(HttpExchange exchange) {
        Answers.json(exchange, Answers.OK, mCatalogue.applied());
    }
}
