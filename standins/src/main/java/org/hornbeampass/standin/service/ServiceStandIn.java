package org.hornbeampass.standin.service;

import org.hornbeampass.standin.admin.Answers;
import org.hornbeampass.standin.admin.FaultRule;
import org.hornbeampass.standin.admin.Faults;
import org.hornbeampass.standin.admin.FaultsAdmin;
import org.hornbeampass.standin.admin.Routes;
import org.hornbeampass.standin.admin.SerialLoop;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.http.HttpExchange;
import org.hornbeampass.transport.http.HttpHandler;
import org.hornbeampass.transport.http.HttpServer;
import org.hornbeampass.transport.http.NettyHttpServer;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.function.ObjLongConsumer;

/**
 * A plain service stand-in with an HTTP server, for embedding and as a command.
 *
 * <p>Serves {@code POST /v1/records}, which appends a record each time it is executed; {@code GET
 * /v1/records/{id}}, which may be repeated; without an idempotency key a call is counted by its
 * request id; {@code POST /admin/leaving?leaving=}; and below {@code /admin/}: {@code faults},
 * {@code records?after=} and {@code verdict}. Thread-safe.
 */
public final class ServiceStandIn implements AutoCloseable {
    private static final int STATUS_CREATED = 201;
    private static final int STATUS_ERROR = 500;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final int PAGE = 10_000;
    private static final String RECORDS = "/v1/records";
    private static final String KEY = "idempotency-key";
    private static final String REQUEST_ID = "x-request-id";
    private static final String ATTEMPT_ID = "x-attempt-id";
    private static final Map<String, String> LEAVING_HEADERS =
            Map.of("x-hornbeampass-leaving", "true");

    private final Clock mClock = Clock.monotonic();
    private final SerialLoop mLoop = new SerialLoop(mClock, "service-stand-in");
    private final RecordTable mRecords = new RecordTable();
    private final Faults<ServiceFault> mFaults;
    private final long mReplyMs;
    private final HttpServer mServer;
    private volatile boolean mLeaving;

    private ServiceStandIn(ServiceSettings settings) {
        mFaults = new Faults<>(ServiceFault.class, settings.seed());
        mReplyMs = settings.replyMs();
        mServer = NettyHttpServer.start(settings.listen().toHttp(), mClock, routes());
    }

    /**
     * Starts a service.
     *
     * @throws IllegalStateException if the address can't be listened on
     */
    public static ServiceStandIn start(ServiceSettings settings) {
        return new ServiceStandIn(settings);
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
    public Faults<ServiceFault> faults() {
        return mFaults;
    }

    /** Returns what was executed. */
    public RecordTable records() {
        return mRecords;
    }

    /** Makes the service leave, so that it refuses new work, or come back. */
    public void setLeaving(boolean leaving) {
        mLeaving = leaving;
    }

    @Override
    public void close() {
        mServer.close().join();
        mLoop.close();
    }

    private Routes routes() {
        Routes routes =
                new Routes()
                        .add("POST", RECORDS, work(this::append))
                        .add("GET", RECORDS + "/", work((exchange, now) -> read(exchange)))
                        .add("POST", "/admin/leaving", (now, exchange) -> leave(exchange))
                        .add("GET", "/admin/records", (now, exchange) -> list(exchange))
                        .add("GET", "/admin/verdict", (now, exchange) -> verdict(exchange));
        new FaultsAdmin<>(mFaults, () -> {}).addTo(routes);
        return routes;
    }

    private HttpHandler work(ObjLongConsumer<HttpExchange> action) {
        return (now, exchange) -> {
            if (mFaults.take(ServiceFault.REFUSE).isPresent()) {
                exchange.abort();
                return;
            }
            if (mLeaving) {
                exchange.respond(STATUS_UNAVAILABLE, LEAVING_HEADERS, new byte[0]);
                return;
            }
            if (mFaults.take(ServiceFault.ERROR_BEFORE_EFFECT).isPresent()) {
                Answers.error(exchange, STATUS_ERROR, "the service met a fault; not executed");
                return;
            }
            Optional<FaultRule> slow = mFaults.take(ServiceFault.SLOW);
            long delayMs = mReplyMs + slow.map(FaultRule::wholeAmount).orElse(0L);
            mLoop.at(now + delayMs, t -> action.accept(exchange, t));
        };
    }

    private void append(HttpExchange exchange, long nowMs) {
        RecordTable.Entry entry =
                mRecords.append(
                        exchange.header(KEY).or(() -> exchange.header(REQUEST_ID)).orElse(""),
                        exchange.header(REQUEST_ID).orElse(""),
                        exchange.header(ATTEMPT_ID).orElse(""),
                        Answers.text(exchange));
        if (mFaults.take(ServiceFault.LOSE_REPLY).isPresent()) {
            exchange.abort();
            return;
        }
        Answers.json(exchange, STATUS_CREATED, entry);
    }

    private void read(HttpExchange exchange) {
        Answers.orError(
                exchange,
                () -> {
                    long id = Long.parseLong(Routes.below(RECORDS + "/", exchange));
                    mRecords.get(id)
                            .ifPresentOrElse(
                                    entry -> Answers.json(exchange, Answers.OK, entry),
                                    () ->
                                            Answers.error(
                                                    exchange, Answers.NOT_FOUND, "no such record"));
                });
    }

    private void leave(HttpExchange exchange) {
        mLeaving = exchange.query("leaving").map(Boolean::parseBoolean).orElse(true);
        Answers.json(exchange, Answers.OK, mLeaving);
    }

    private void list(HttpExchange exchange) {
        Answers.orError(
                exchange,
                () -> {
                    long after = Long.parseLong(exchange.query("after").orElse("0"));
                    Answers.json(exchange, Answers.OK, mRecords.after(after, PAGE));
                });
    }

    private void verdict(HttpExchange exchange) {
        Answers.json(exchange, Answers.OK, mRecords.verdict());
    }
}
