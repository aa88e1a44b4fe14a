package org.hornbeampass.router.upstream;

import org.hornbeampass.coordination.limit.AnswerKind;
import org.hornbeampass.coordination.limit.AttemptOutcome;
import org.hornbeampass.coordination.routing.UpstreamChoice;
import org.hornbeampass.router.flow.AttemptListener;

/**
 * One attempt at a call to a plain service.
 *
 * <p>Any whole answer to a call that may not be repeated is its outcome, including one with a 5xx
 * status. For other calls a 5xx status is a failure, after which another instance is tried. The
 * same threads as for {@link HttpAttempt} apply.
 */
final class ServiceAttempt extends HttpAttempt {
    private final boolean mRepeatable;

    ServiceAttempt(
            AttemptContext context,
            UpstreamChoice choice,
            int number,
            AttemptListener listener,
            boolean repeatable) {
        super(context, choice, number, listener, kind(repeatable));
        mRepeatable = repeatable;
    }

    private static AnswerKind kind(boolean repeatable) {
        return repeatable ? AnswerKind.SINGLE_PART : AnswerKind.NOT_REPEATABLE;
    }

    @Override
    AttemptOutcome outcomeOf(int status, boolean leaving) {
        return mRepeatable ? super.outcomeOf(status, leaving) : AttemptOutcome.SUCCEEDED;
    }
}
