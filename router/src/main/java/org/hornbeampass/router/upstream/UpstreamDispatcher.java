package org.hornbeampass.router.upstream;

import io.vavr.control.Either;

import org.hornbeampass.coordination.limit.FailedAttempt;
import org.hornbeampass.coordination.limit.RetryDecision;
import org.hornbeampass.coordination.routing.RoutingQuery;
import org.hornbeampass.coordination.routing.UpstreamChoice;
import org.hornbeampass.router.flow.Attempt;
import org.hornbeampass.router.flow.AttemptFault;
import org.hornbeampass.router.flow.AttemptListener;
import org.hornbeampass.router.flow.RelayProgress;
import org.hornbeampass.router.flow.Retry;
import org.hornbeampass.router.flow.UpstreamPort;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.UpstreamId;
import org.hornbeampass.transport.http.HttpClient;

import java.net.URI;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Sends the attempts of one request, each to an upstream that was not tried before where there is
 * one.
 *
 * <p>Not thread-safe: confined to the request's flow.
 */
abstract class UpstreamDispatcher implements UpstreamPort {
    private static final String JSON = "application/json";

    private final AttemptContext mContext;
    private final String mRequestId;
    private final boolean mRepeatable;
    private RoutingQuery mQuery;
    private int mAttempts;
    private boolean mMayHaveBeenSent;
    private UpstreamId mLastUpstream;

    UpstreamDispatcher(
            AttemptContext context, String requestId, boolean repeatable, RoutingQuery query) {
        mContext = context;
        mRequestId = requestId;
        mRepeatable = repeatable;
        mQuery = query;
    }

    /** Creates the attempt that is to be sent. */
    abstract HttpAttempt newAttempt(
            UpstreamChoice choice, int number, RelayProgress relayed, AttemptListener listener);

    abstract String method();

    abstract String target();

    abstract String contentType();

    abstract byte[] body();

    @Override
    public final Either<Failure, Attempt> start(
            long nowMs, int number, RelayProgress relayed, AttemptListener listener) {
        Either<Failure, UpstreamChoice> choice = choose(nowMs);
        if (choice.isLeft()) {
            return Either.left(choice.getLeft());
        }
        if (mAttempts == 0) {
            mContext.retryBudget().onFirstAttempt();
        }
        mAttempts++;
        mLastUpstream = choice.get().upstream();
        HttpAttempt attempt = newAttempt(choice.get(), number, relayed, listener);
        attempt.send(request(nowMs, choice.get(), relayed, attempt.connectMs()));
        return Either.right(attempt);
    }

    /** Chooses an upstream that was not tried, or any upstream where all were tried. */
    private Either<Failure, UpstreamChoice> choose(long nowMs) {
        Either<Failure, UpstreamChoice> choice = mContext.chooser().choose(nowMs, mQuery);
        if (choice.isRight() || mQuery.excluded().isEmpty()) {
            return choice;
        }
        return mContext.chooser().choose(nowMs, excluding(Set.of()));
    }

    @Override
    public final Retry decideRetry(long nowMs, AttemptFault fault, RelayProgress relayed) {
        FailedAttempt failed =
                new FailedAttempt(
                        fault.outcome(),
                        mRepeatable,
                        mAttempts,
                        relayed.tokens(),
                        true,
                        mQuery.deadline());
        RetryDecision decision =
                mContext.retryPolicy()
                        .decide(nowMs, failed, mMayHaveBeenSent, mContext.retryBudget());
        mMayHaveBeenSent |= fault.outcome().mayHaveSent();
        mQuery = mQuery.excluding(mLastUpstream);
        if (decision instanceof RetryDecision.RetryElsewhere elsewhere) {
            return new Retry.Again(elsewhere.delayMs());
        }
        return decision instanceof RetryDecision.Resume ? new Retry.Again(0) : new Retry.GiveUp();
    }

    private RoutingQuery excluding(Set<UpstreamId> excluded) {
        return new RoutingQuery(
                mQuery.target(),
                mQuery.organisation(),
                mQuery.priority(),
                mQuery.prefix(),
                excluded,
                mQuery.deadline());
    }

    private HttpClient.Request request(
            long nowMs, UpstreamChoice choice, RelayProgress relayed, long connectMs) {
        Map<String, String> headers = new HashMap<>();
        headers.put("content-type", contentType());
        headers.put("accept", JSON + ", text/event-stream");
        headers.put(UpstreamHeaders.REQUEST_ID, mRequestId);
        headers.put(UpstreamHeaders.ATTEMPT_ID, mContext.vm() + "-" + choice.attempt());
        headers.put(UpstreamHeaders.PRIORITY, Integer.toString(mQuery.priority()));
        headers.put(
                UpstreamHeaders.DEADLINE_MS, Long.toString(mQuery.deadline().remainingMs(nowMs)));
        if (relayed.tokens() > 0) {
            headers.put(UpstreamHeaders.RESUME_OFFSET, Long.toString(relayed.tokens()));
        }
        return new HttpClient.Request(
                method(),
                URI.create(choice.baseUri() + target()),
                headers,
                body(),
                Math.min(mContext.settings().connectTimeoutMs(), connectMs),
                mContext.settings().idleTimeoutMs());
    }

    @Override
    public final Optional<UpstreamId> lastUpstream() {
        return Optional.ofNullable(mLastUpstream);
    }

    final AttemptContext context() {
        return mContext;
    }
}
