package org.hornbeampass.router.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.vavr.control.Either;

import org.hornbeampass.coordination.escrow.Admission;
import org.hornbeampass.coordination.escrow.TokenWaiter;
import org.hornbeampass.coordination.service.RouteTable;
import org.hornbeampass.coordination.stream.StreamOrigin;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.service.HomeRegions;
import org.hornbeampass.state.service.PrepaidOrganisation;
import org.hornbeampass.state.service.Route;
import org.hornbeampass.state.service.ServiceSpec;
import org.hornbeampass.transport.relay.CallerConnection;
import org.hornbeampass.transport.relay.CallerListener;

import java.util.Optional;
import java.util.function.LongConsumer;

/**
 * One request of a caller, from its head to the settling of its tokens.
 *
 * <p>Invariants: tokens are reserved before anything is sent, and settled once; a request that may
 * not be repeated is sent again only where the upstream stated that it did not run it; a failure
 * that states that the request did not run is answered only where that is certain; the caller gets
 * at most one answer. Confined to one event loop.
 */
final class RelayCall implements CallerListener, TokenWaiter {
    private final RelayContext mContext;
    private final CallerConnection mCaller;
    private final HttpRequest mRequest;
    private final long mArrivedMs;
    private final RequestBody mBody;
    private CallerHead mHead = CallerHead.NONE;
    private Optional<Route> mRoute = Optional.empty();
    private Optional<ServiceSpec> mService = Optional.empty();
    private Optional<PrepaidOrganisation> mOrganisation = Optional.empty();
    private Optional<String> mSoftwareVersion = Optional.empty();
    private Optional<CrashHistory> mCrashes = Optional.empty();
    private Optional<RequestExecution> mExecution = Optional.empty();
    private long mDeadlineMs;
    private long mMaxBodyBytes = Long.MAX_VALUE;
    private long mReserved;
    private LogFields mShortageFields = new LogFields();
    private boolean mAdmissionStarted;
    private boolean mEnded;
    private boolean mCallerGone;
    private Runnable mDeadlineTimer = () -> {};
    private Runnable mGrantTimer = () -> {};

    RelayCall(RelayContext context, CallerConnection caller, HttpRequest request, long nowMs) {
        mContext = context;
        mCaller = caller;
        mRequest = request;
        mArrivedMs = nowMs;
        mBody = new RequestBody(new BodyHold(context, this::refuseUnsent));
    }

    /** Reads the head and refuses a request that can't be relayed. */
    void start(long nowMs) {
        Optional<Failure> refusal = prepare(nowMs);
        if (refusal.isPresent()) {
            fail(nowMs, refusal.get());
            return;
        }
        mDeadlineTimer = timer(mDeadlineMs - nowMs, this::onDeadline);
    }

    private Optional<Failure> prepare(long nowMs) {
        Either<Failure, CallerHead> read = mContext.wire().readHead(mRequest);
        if (read.isLeft()) {
            return Optional.of(read.getLeft());
        }
        mHead = read.get();
        if (!mContext.isConfigured()) {
            return Optional.of(Refusals.noConfiguration());
        }
        if (!mContext.shutdown().acceptsNewRequests(nowMs)) {
            return Optional.of(Refusals.shuttingDown());
        }
        RouteTable routes = mContext.routes().get();
        mMaxBodyBytes = routes.config().limits().maxBodyBytes();
        int query = mRequest.uri().indexOf('?');
        String path = query < 0 ? mRequest.uri() : mRequest.uri().substring(0, query);
        mRoute = routes.route(mHead.host(), path);
        if (mRoute.isEmpty()) {
            return Optional.of(
                    notConfigured(
                            nowMs, ErrorKind.NOT_FOUND, "no route matches the host and path"));
        }
        Intake intake = mContext.intake();
        return intake.refuse(nowMs, mCaller, mHead.id(), mRoute.get())
                .or(() -> authorise(nowMs, routes))
                .or(() -> intake.refuse(nowMs, mCaller, mHead.id(), mRoute.get(), mOrganisation))
                .or(() -> selectService(nowMs, routes))
                .or(() -> refuseBeforeExit(nowMs));
    }

    private Optional<Failure> refuseBeforeExit(long nowMs) {
        return mContext.shutdown().mayStart(nowMs, mRoute.orElseThrow(), mDeadlineMs)
                ? Optional.empty()
                : Optional.of(Refusals.shuttingDown());
    }

    /**
     * Returns the failure for something that the configuration lacks. A VM whose configuration may
     * be outdated can't be sure of that, so it asks the caller to retry here or elsewhere, whereas
     * a 404 would be final.
     */
    private Failure notConfigured(long nowMs, ErrorKind kind, String message) {
        return mContext.configMayBeStale(nowMs)
                ? Refusals.missingHere(message)
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
                        notConfigured(
                                nowMs,
                                ErrorKind.KEY_MISSING_OR_UNKNOWN,
                                "the request has no API key of a known organisation"));
    }

    private Optional<Failure> selectService(long nowMs, RouteTable routes) {
        Route route = mRoute.get();
        mService = routes.pickService(route, mContext.random());
        if (mService.isEmpty()) {
            return Optional.of(Refusals.noUpstream("the route has no service"));
        }
        mDeadlineMs = mHead.deadlineMs(nowMs, route);
        return Optional.empty();
    }

    @Override
    public void onBody(long nowMs, ByteBuf part) {
        if (mEnded) {
            part.release();
            return;
        }
        mBody.add(part);
        if (mBody.bytes() > mMaxBodyBytes) {
            onBodyInvalid(nowMs, Failure.of(ErrorKind.REQUEST_TOO_LARGE, "the body is too large"));
            return;
        }
        if (mExecution.isPresent()) {
            mExecution.get().onBody(nowMs);
        } else if (mBody.large()) {
            mCaller.setReading(false);
            admit(nowMs);
        }
    }

    @Override
    public void onBodyInvalid(long nowMs, Failure failure) {
        if (mEnded) {
            return;
        }
        if (mExecution.isPresent()) {
            mExecution.get().refuse(nowMs, failure);
        } else {
            fail(nowMs, failure);
        }
    }

    @Override
    public void onBodyEnd(long nowMs) {
        if (mEnded) {
            return;
        }
        mBody.end();
        if (mExecution.isPresent()) {
            mExecution.get().onBody(nowMs);
        } else {
            admit(nowMs);
        }
    }

    /**
     * Reserves the most tokens that the request may use, and waits for a short time where too few
     * are free.
     */
    private void admit(long nowMs) {
        if (mAdmissionStarted || mEnded) {
            return;
        }
        mAdmissionStarted = true;
        CrashHistory crashes = new CrashHistory(mContext, identity(), mHead.id());
        mCrashes = Optional.of(crashes);
        crashes.onAdmission();
        if (!crashes.mayBeSent(nowMs)) {
            fail(nowMs, crashes.refuse(nowMs));
            return;
        }
        if (forwardIfAdvised(nowMs)) {
            return;
        }
        StreamResumption resumption =
                new StreamResumption(mContext, mHead, mRoute.orElseThrow(), organisation());
        if (resumption.isRequested()) {
            resumption.findOrigin(nowMs, this::onOriginFound);
        } else {
            admitTokens(nowMs);
        }
    }

    private void onOriginFound(long nowMs, Optional<StreamOrigin> origin) {
        if (mEnded) {
            return;
        }
        RouteTable routes = mContext.routes().orElseThrow();
        Optional<ServiceSpec> service = origin.flatMap(o -> routes.service(o.service()));
        if (service.isEmpty()) {
            fail(nowMs, Refusals.noUpstream("the upstreams that may go on are not known"));
            return;
        }
        mService = service;
        mSoftwareVersion = origin.map(StreamOrigin::softwareVersion);
        admitTokens(nowMs);
    }

    private void admitTokens(long nowMs) {
        Admission admission = reserve(nowMs);
        if (admission != Admission.INSUFFICIENT_HERE) {
            onAdmission(nowMs, admission);
            return;
        }
        mGrantTimer = timer(grantWaitMs(), this::onGrantTimeout);
        waitForTokens(nowMs);
    }

    /** Refuses the request unless its tokens have become free by now. */
    private void onGrantTimeout(long nowMs) {
        if (isWaiting()) {
            onAdmission(nowMs, reserve(nowMs));
        }
    }

    @Override
    public boolean isWaiting() {
        return !mEnded && mExecution.isEmpty();
    }

    /**
     * Returns how long a request may wait for tokens, in milliseconds: at most its objective, and
     * only while an exchange with the store or a search for a loan is under way, both of which end
     * by themselves where there are no tokens. A refused request would come back later than that.
     */
    private long grantWaitMs() {
        return mRoute.orElseThrow().objectiveMs();
    }

    /** Waits for the store or for other VMs, as long as tokens can be expected from them. */
    private void waitForTokens(long nowMs) {
        long tokens = mHead.prompt().maxTokens();
        if (mContext.budgets().mayObtainTokens(nowMs, organisation(), tokens)) {
            mContext.budgets().afterNextExchange(nowMs, organisation(), this::retry);
            return;
        }
        boolean searching = mContext.loans().search(nowMs, organisation(), tokens, this);
        if (!searching) {
            onAdmission(nowMs, Admission.INSUFFICIENT_HERE);
        }
    }

    @Override
    public void retry() {
        if (!isWaiting()) {
            return;
        }
        long nowMs = mContext.clock().nowMs();
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
        Admission admission = mContext.budgets().admit(nowMs, organisation(), tokens);
        if (admission == Admission.RESERVED) {
            mReserved = tokens;
        }
        return admission;
    }

    /** Returns the regions that both the route and the organisation allow. */
    private HomeRegions homes() {
        HomeRegions ofRoute = mRoute.orElseThrow().homes();
        return mOrganisation.map(o -> ofRoute.and(o.homes())).orElse(ofRoute);
    }

    private String organisation() {
        return mOrganisation.map(PrepaidOrganisation::name).orElse("");
    }

    private void onAdmission(long nowMs, Admission admission) {
        if (!isWaiting()) {
            return;
        }
        mGrantTimer.run();
        if (admission == Admission.RESERVED || admission == Admission.UNMETERED) {
            execute(
                    nowMs,
                    new RelayAttempts(mContext, this, plan(), mBody, mCrashes.orElseThrow()));
            return;
        }
        TokenShortage shortage =
                new TokenShortage(mContext.budgets(), organisation(), mHead.prompt().maxTokens());
        mShortageFields = shortage.fields(nowMs);
        fail(
                nowMs,
                admission == Admission.EXHAUSTED
                        ? Refusals.exhausted()
                        : Refusals.tooFewTokens(shortage.reason(nowMs)));
    }

    private void execute(long nowMs, RequestExecution execution) {
        mCaller.setReading(true);
        mExecution = Optional.of(execution);
        execution.start(nowMs);
    }

    private RelayPlan plan() {
        return new RelayPlan(
                mRequest,
                mHead,
                mRoute.orElseThrow(),
                mService.orElseThrow(),
                mOrganisation.map(PrepaidOrganisation::name),
                homes(),
                mSoftwareVersion,
                mContext.admission()
                        .flatMap(a -> a.urgencySteps(mOrganisation, mRoute.orElseThrow())),
                mContext.admission().map(a -> a.urgency(mOrganisation, mRoute.get())).orElse(0),
                mDeadlineMs);
    }

    /**
     * Forwards the request to another VM where this one has lost its links to the service; it must
     * not have run. Tokens that were reserved are released: the other VM reserves its own.
     *
     * @return whether the request is being forwarded
     */
    boolean forwardIfAdvised(long nowMs) {
        String service = mService.orElseThrow().name();
        if (!mBody.replayable() || !mContext.forwarding().isAdvised(mHead, service)) {
            return false;
        }
        mContext.budgets().settle(nowMs, organisation(), mReserved, 0);
        mReserved = 0;
        execute(nowMs, new ForwardedRequest(mContext, this, plan(), mBody));
        return true;
    }

    /** Returns the identity of the request; its caller is the organisation that pays. */
    private RequestIdentity identity() {
        String caller = mOrganisation.map(PrepaidOrganisation::name).or(mHead::apiKey).orElse("");
        RequestIdentity identity =
                new RequestIdentity(mContext.hasher(), mHead, mRequest.uri(), caller, mBody);
        if (mBody.large()) {
            identity.digest();
        }
        return identity;
    }

    private void onDeadline(long nowMs) {
        if (mExecution.isEmpty()) {
            fail(
                    nowMs,
                    Refusals.noUpstream("the deadline passed before the request could be sent"));
            return;
        }
        mExecution.get().onDeadline(nowMs);
    }

    @Override
    public void onCallerGone(long nowMs) {
        if (mEnded) {
            return;
        }
        mCallerGone = true;
        if (mExecution.isEmpty()) {
            end(nowMs, "caller-gone", 0);
            return;
        }
        mExecution.get().onCallerGone(nowMs);
    }

    @Override
    public void onExit(long nowMs) {
        if (mEnded) {
            return;
        }
        if (mExecution.isPresent()) {
            mExecution.get().onExit(nowMs);
        } else {
            fail(nowMs, Refusals.shuttingDown());
        }
    }

    @Override
    public void onCallerWritable(long nowMs) {
        mExecution.ifPresent(RequestExecution::onCallerWritable);
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

    /** Answers with a failure, before anything else was answered and without any use of tokens. */
    private void fail(long nowMs, Failure failure) {
        fail(nowMs, failure, 0);
    }

    private boolean refuseUnsent(long nowMs) {
        if (!isWaiting()) {
            return false;
        }
        mCaller.closeAfterAnswer();
        fail(nowMs, Refusals.buffersFull());
        return true;
    }

    /** Settles the request and answers with a failure, before anything else was answered. */
    void fail(long nowMs, Failure failure, long usedTokens) {
        if (mEnded) {
            return;
        }
        end(nowMs, failure.kind().code(), usedTokens);
        mCaller.fail(failure);
    }

    /** Settles and logs the request; the user of this method must then write the answer. */
    void end(long nowMs, String outcome, long usedTokens) {
        if (mEnded) {
            return;
        }
        mEnded = true;
        mDeadlineTimer.run();
        mGrantTimer.run();
        mBody.release();
        mContext.budgets().settle(nowMs, organisation(), mReserved, usedTokens);
        mContext.log()
                .logEnd(
                        nowMs,
                        mHead,
                        mRoute,
                        outcome,
                        new LogFields()
                                .add("organisation", organisation())
                                .add("reserved", mReserved)
                                .add("used", usedTokens)
                                .add("loop_delay_ms", mContext.loopDelayMs())
                                .addAll(mShortageFields)
                                .addAll(
                                        mExecution
                                                .map(RequestExecution::summary)
                                                .orElseGet(LogFields::new)),
                        nowMs - mArrivedMs);
    }

    /**
     * Schedules an action on the event loop, to run after a delay in milliseconds unless the
     * request has ended by then. Returns a handle that cancels it.
     */
    Runnable timer(long delayMs, LongConsumer action) {
        return mContext.timer(delayMs, () -> mEnded, action);
    }

    /** Writes the head of the answer, unless the caller has gone. */
    void sendHead(HttpResponse head) {
        if (!mCallerGone) {
            mCaller.sendHead(head);
        }
    }
}
