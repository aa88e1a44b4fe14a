package org.hornbeampass.router.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.vavr.control.Either;

import org.hornbeampass.coordination.escrow.Admission;
import org.hornbeampass.coordination.escrow.EscrowBook;
import org.hornbeampass.coordination.quarantine.RequestDigest;
import org.hornbeampass.coordination.quarantine.SuspectTable;
import org.hornbeampass.coordination.service.RouteTable;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.service.PrepaidOrganisation;
import org.hornbeampass.state.service.Prompt;
import org.hornbeampass.state.service.Route;
import org.hornbeampass.state.service.ServiceSpec;
import org.hornbeampass.transport.relay.CallerConnection;
import org.hornbeampass.transport.relay.CallerListener;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * One request of a caller, from its head to its settlement.
 *
 * <p>Invariants: tokens are reserved before anything is sent, and settled once; a request that may
 * not be repeated is sent again only on an upstream's word that it was not run; a failure that says
 * "not run" is answered only where that holds; the caller gets at most one answer. Confined to one
 * event loop.
 */
final class RelayCall implements CallerListener {
    /** How long a request may take that names no time, and is on no route that does. */
    private static final long DEFAULT_TIMEOUT_MS = 30_000;

    /** How much earlier than the caller's own time an answer is given, so that it arrives. */
    private static final long ANSWER_MARGIN_MS = 20;

    private final RelayContext mParts;
    private final CallerConnection mCaller;
    private final HttpRequest mRequest;
    private final long mArrivedMs;
    private final RequestBody mBody = new RequestBody();
    private CallerHead mHead =
            new CallerHead(
                    "",
                    "",
                    OptionalLong.empty(),
                    Optional.empty(),
                    Prompt.NONE,
                    OptionalLong.empty());
    private Optional<Route> mRoute = Optional.empty();
    private Optional<ServiceSpec> mService = Optional.empty();
    private Optional<PrepaidOrganisation> mOrganisation = Optional.empty();
    private Optional<CrashHistory> mCrashes = Optional.empty();
    private Optional<RelayAttempts> mAttempts = Optional.empty();
    private long mDeadlineMs;
    private long mReserved;
    private LogFields mTokensLacking = new LogFields();
    private boolean mAdmitting;
    private boolean mEnded;
    private boolean mCallerGone;
    private Runnable mDeadlineTimer = () -> {};
    private Runnable mGrantTimer = () -> {};

    RelayCall(RelayContext parts, CallerConnection caller, HttpRequest request, long nowMs) {
        mParts = parts;
        mCaller = caller;
        mRequest = request;
        mArrivedMs = nowMs;
    }

    /** Reads the head, and refuses what can't be passed on. */
    void start(long nowMs) {
        Optional<Failure> refusal = prepare(nowMs);
        if (refusal.isPresent()) {
            fail(nowMs, refusal.get());
            return;
        }
        mDeadlineTimer = timer(mDeadlineMs - nowMs, this::onDeadline);
    }

    private Optional<Failure> prepare(long nowMs) {
        Either<Failure, CallerHead> read = mParts.wire().readHead(mRequest);
        if (read.isLeft()) {
            return Optional.of(read.getLeft());
        }
        mHead = read.get();
        if (mParts.routes().isEmpty()) {
            return Optional.of(Refusals.withoutConfiguration());
        }
        if (mParts.refusing()) {
            return Optional.of(Refusals.shuttingDown());
        }
        RouteTable routes = mParts.routes().get();
        int query = mRequest.uri().indexOf('?');
        String path = query < 0 ? mRequest.uri() : mRequest.uri().substring(0, query);
        mRoute = routes.route(mHead.host(), path);
        if (mRoute.isEmpty()) {
            return Optional.of(unknown(nowMs, ErrorKind.NOT_FOUND, "no route leads there"));
        }
        return authorise(nowMs, routes).or(() -> direct(nowMs, routes));
    }

    /**
     * Refuses for what the configuration lacks. A VM that may be behind can't know that: its caller
     * is told to come back, here or elsewhere, where 404 would be final.
     */
    private Failure unknown(long nowMs, ErrorKind kind, String message) {
        return mParts.mayBeBehind(nowMs)
                ? Refusals.unknownHere(message)
                : Failure.of(kind, message);
    }

    private Optional<Failure> authorise(long nowMs, RouteTable routes) {
        if (mRoute.get().allowsAnonymous() || !routes.checksKeys()) {
            return Optional.empty();
        }
        mOrganisation = mHead.apiKey().flatMap(routes::organisationOf);
        return mOrganisation.isPresent()
                ? Optional.empty()
                : Optional.of(
                        unknown(
                                nowMs,
                                ErrorKind.KEY_MISSING_OR_UNKNOWN,
                                "show the key of an organisation"));
    }

    private Optional<Failure> direct(long nowMs, RouteTable routes) {
        Route route = mRoute.get();
        mService = routes.pickService(route, mParts.random());
        if (mService.isEmpty()) {
            return Optional.of(Refusals.noUpstream("the route has no service"));
        }
        long budgetMs = mHead.timeoutMs().orElse(DEFAULT_TIMEOUT_MS) - ANSWER_MARGIN_MS;
        mDeadlineMs = nowMs + Math.max(1, Math.min(budgetMs, route.timeoutMs()));
        return Optional.empty();
    }

    @Override
    public void onBody(long nowMs, ByteBuf part) {
        if (mEnded) {
            part.release();
            return;
        }
        mBody.add(part);
        if (mBody.bytes() > maxBodyBytes()) {
            onTooLarge(nowMs);
            return;
        }
        if (mAttempts.isPresent()) {
            mAttempts.get().onBody(nowMs);
        } else if (mBody.large()) {
            mCaller.reading(false);
            admit(nowMs);
        }
    }

    private void onTooLarge(long nowMs) {
        Failure failure = Failure.of(ErrorKind.REQUEST_TOO_LARGE, "the body is too large");
        if (mAttempts.isPresent()) {
            mAttempts.get().refuse(nowMs, failure);
        } else {
            fail(nowMs, failure);
        }
    }

    private long maxBodyBytes() {
        return mParts.routes().orElseThrow().config().limits().maxBodyBytes();
    }

    @Override
    public void onBodyEnd(long nowMs) {
        if (mEnded) {
            return;
        }
        mBody.end();
        if (mAttempts.isPresent()) {
            mAttempts.get().onBody(nowMs);
        } else {
            admit(nowMs);
        }
    }

    /** Reserves the most that the request may use, and waits a moment where that fails. */
    private void admit(long nowMs) {
        if (mAdmitting || mEnded) {
            return;
        }
        mAdmitting = true;
        CrashHistory crashes = new CrashHistory(mParts, identity(), mHead.id());
        mCrashes = Optional.of(crashes);
        if (!crashes.mayBeSent(nowMs)) {
            fail(nowMs, quarantined(nowMs, crashes.digest()));
            return;
        }
        Admission admission = reserve(nowMs);
        if (admission != Admission.INSUFFICIENT_HERE) {
            onAdmission(nowMs, admission);
            return;
        }
        mGrantTimer = timer(grantWaitMs(), t -> onAdmission(t, Admission.INSUFFICIENT_HERE));
        waitForTokens(nowMs);
    }

    /**
     * Returns how long a request may wait for tokens, in milliseconds: up to its objective, while
     * an exchange or a search is under way, which end by themselves where there are none. A request
     * that is refused comes back later than that.
     */
    private long grantWaitMs() {
        return mRoute.orElseThrow().objectiveMs();
    }

    /** Waits for the store or for other VMs, as long as there is hope for tokens. */
    private void waitForTokens(long nowMs) {
        long tokens = mHead.prompt().maxTokens();
        if (mParts.budgets().mayObtainTokens(nowMs, organisation(), tokens)) {
            mParts.budgets().afterNextExchange(nowMs, organisation(), this::admitAgain);
            return;
        }
        boolean searching = mParts.loans().search(nowMs, organisation(), tokens, this::admitAgain);
        if (!searching) {
            onAdmission(nowMs, Admission.INSUFFICIENT_HERE);
        }
    }

    private void admitAgain() {
        if (mEnded || mAttempts.isPresent()) {
            return;
        }
        long nowMs = mParts.clock().nowMs();
        Admission admission = reserve(nowMs);
        if (admission == Admission.INSUFFICIENT_HERE) {
            waitForTokens(nowMs);
        } else {
            onAdmission(nowMs, admission);
        }
    }

    private Admission reserve(long nowMs) {
        long tokens = mHead.prompt().maxTokens();
        if (mOrganisation.isEmpty()) {
            return Admission.UNMETERED;
        }
        Admission admission = mParts.budgets().admit(nowMs, organisation(), tokens);
        if (admission == Admission.RESERVED) {
            mReserved = tokens;
        }
        return admission;
    }

    private String organisation() {
        return mOrganisation.map(PrepaidOrganisation::name).orElse("");
    }

    private void onAdmission(long nowMs, Admission admission) {
        if (mEnded || mAttempts.isPresent()) {
            return;
        }
        mGrantTimer.run();
        if (admission == Admission.RESERVED || admission == Admission.UNMETERED) {
            mCaller.reading(true);
            mAttempts =
                    Optional.of(
                            new RelayAttempts(
                                    mParts,
                                    this,
                                    new RelayPlan(
                                            mRequest,
                                            mHead,
                                            mRoute.orElseThrow(),
                                            mService.orElseThrow(),
                                            mOrganisation.map(PrepaidOrganisation::name),
                                            mDeadlineMs),
                                    mBody,
                                    mCrashes.orElseThrow()));
            mAttempts.get().attempt(nowMs);
            return;
        }
        mTokensLacking = lackingFields(nowMs);
        fail(
                nowMs,
                admission == Admission.EXHAUSTED
                        ? Refusals.exhausted()
                        : Refusals.tooFewTokens(lack(nowMs)));
    }

    /** Returns what identifies the request; its caller is the organisation that pays. */
    private RequestIdentity identity() {
        String caller = mOrganisation.map(PrepaidOrganisation::name).or(mHead::apiKey).orElse("");
        RequestIdentity identity =
                new RequestIdentity(mParts.hasher(), mHead.host(), mRequest.uri(), caller, mBody);
        if (mBody.large()) {
            identity.digest();
        }
        return identity;
    }

    private Refusals.Lack lack(long nowMs) {
        if (mParts.budgets().isStoreUnreachable(nowMs, organisation())) {
            return Refusals.Lack.STORE_UNREACHABLE;
        }
        long tokens = mHead.prompt().maxTokens();
        return mParts.budgets().mayObtainTokens(nowMs, organisation(), tokens)
                ? Refusals.Lack.STORE_MAY_HAVE_MORE
                : Refusals.Lack.SCARCE;
    }

    /** Returns what decided against the request, as fields of a log line. */
    private LogFields lackingFields(long nowMs) {
        EscrowBook.AdmissionState standing = mParts.budgets().admissionState(nowMs, organisation());
        return new LogFields()
                .add("wanted", mHead.prompt().maxTokens())
                .add("free", standing.free())
                .add("unallocated", standing.unallocated())
                .add("unspent", standing.unspent())
                .add("heard_ago_ms", standing.storeReplyAgeMs().orElse(-1))
                .add("store_lost", standing.storeUnreachable());
    }

    private void onDeadline(long nowMs) {
        if (mAttempts.isEmpty()) {
            fail(nowMs, Refusals.noUpstream("the time was over before it could be sent"));
            return;
        }
        mAttempts.get().onDeadline(nowMs);
    }

    /**
     * Logs that a request is kept from upstreams, and returns the answer to it, which did not run.
     */
    Failure quarantined(long nowMs, RequestDigest digest) {
        SuspectTable suspects = mParts.quarantine().suspects();
        long leftMs = suspects.quarantineLeftMs(nowMs, digest);
        mParts.log()
                .decided(
                        nowMs,
                        mHead.id(),
                        "quarantined",
                        new LogFields().add("digest", digest.toString()).add("left_ms", leftMs));
        return Refusals.quarantined(suspects.retryAfterMs(nowMs, digest));
    }

    @Override
    public void onCallerGone(long nowMs) {
        if (mEnded) {
            return;
        }
        mCallerGone = true;
        if (mAttempts.isEmpty()) {
            end(nowMs, "caller-gone", 0);
            return;
        }
        mAttempts.get().onCallerGone(nowMs);
    }

    @Override
    public void onCallerWritable(long nowMs) {
        mAttempts.ifPresent(RelayAttempts::onCallerWritable);
    }

    CallerConnection caller() {
        return mCaller;
    }

    boolean callerGone() {
        return mCallerGone;
    }

    boolean ended() {
        return mEnded;
    }

    /** Answers with a failure before anything was answered. */
    private void fail(long nowMs, Failure failure) {
        fail(nowMs, failure, 0);
    }

    /** Answers with a failure before anything was answered, and settles. */
    void fail(long nowMs, Failure failure, long usedTokens) {
        if (mEnded) {
            return;
        }
        end(nowMs, failure.kind().code(), usedTokens);
        mCaller.fail(failure);
    }

    /** Settles; the answer is the caller's to write. */
    void end(long nowMs, String outcome, long usedTokens) {
        if (mEnded) {
            return;
        }
        mEnded = true;
        mDeadlineTimer.run();
        mGrantTimer.run();
        mBody.release();
        mParts.budgets().settle(nowMs, organisation(), mReserved, usedTokens);
        mParts.log()
                .ended(
                        nowMs,
                        mHead,
                        mRoute,
                        outcome,
                        new LogFields()
                                .add("organisation", organisation())
                                .add("reserved", mReserved)
                                .add("used", usedTokens)
                                .addAll(mTokensLacking)
                                .addAll(
                                        mAttempts
                                                .map(RelayAttempts::summary)
                                                .orElseGet(LogFields::new)),
                        nowMs - mArrivedMs);
    }

    /** Runs an action on the loop after a time; the result takes it back. */
    Runnable timer(long delayMs, java.util.function.LongConsumer action) {
        var scheduled =
                mParts.loop()
                        .schedule(
                                () -> {
                                    if (!mEnded) {
                                        action.accept(mParts.clock().nowMs());
                                    }
                                },
                                Math.max(0, delayMs),
                                TimeUnit.MILLISECONDS);
        return () -> scheduled.cancel(false);
    }

    /** Writes the head of the answer. */
    void sendHead(HttpResponse head) {
        if (!mCallerGone) {
            mCaller.sendHead(head);
        }
    }
}
