package org.hornbeampass.coordination.requests;

import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.coordination.platform.RetryPolicy;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.Json;

import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Finds out whether this VM decides the request log by the settings that the whole fleet uses.
 *
 * <p>The first VM ever writes its settings to the platform by a conditional create; all later ones
 * compare theirs. Invariants: two VMs whose settings differ never both agree; once told, an answer
 * stays. A lost reply is asked for again. Not thread-safe; the ledger's lock guards it.
 */
final class SettingsAgreement {
    /** Where the settings are kept. */
    static final String KEY = "requests/settings";

    /** The number of the rules by which the log is decided; raised with every change of them. */
    static final int RULES = 2;

    private static final RetryPolicy BACKOFF = new RetryPolicy(50, 2_000, Integer.MAX_VALUE);

    private final Platform mPlatform;
    private final Agreed mOwn;
    private final Deferred.Guard mGuard;
    private final SplittableRandom mRandom;

    private Answer mAnswer = Answer.NOT_KNOWN;
    private String mTheirs = "";
    private boolean mCallOpen;
    private int mFailures;
    private long mNextTryMs = Long.MIN_VALUE;

    /** What is known. */
    private enum Answer {
        NOT_KNOWN,
        SAME,
        DIFFERENT
    }

    /**
     * What all VMs must have in common.
     *
     * @param rules the number of the rules
     * @param shards the number of shards
     * @param retention how long ids are remembered
     */
    record Agreed(int rules, int shards, Retention retention) {}

    SettingsAgreement(
            Platform platform,
            LedgerSettings settings,
            Deferred.Guard guard,
            SplittableRandom random) {
        mPlatform = platform;
        mOwn = new Agreed(RULES, settings.shards(), settings.retention());
        mGuard = guard;
        mRandom = random;
    }

    /** Returns whether this VM may read and write the log. */
    boolean same() {
        return mAnswer == Answer.SAME;
    }

    /** Returns why this VM may not, if so. */
    Optional<Failure> notReady() {
        return switch (mAnswer) {
            case SAME -> Optional.empty();
            case NOT_KNOWN ->
                    Optional.of(
                            Failure.of(
                                    ErrorKind.NOT_READY,
                                    "the request log's settings are not read yet from " + KEY));
            case DIFFERENT ->
                    Optional.of(
                            Failure.of(
                                    ErrorKind.NOT_READY,
                                    "this VM's settings of the request log, "
                                            + Json.encode(mOwn)
                                            + ", are not the fleet's, "
                                            + mTheirs
                                            + ", kept at "
                                            + KEY
                                            + "; start this VM with the fleet's settings and"
                                            + " version"));
        };
    }

    /** Asks the platform where that is due. */
    void step(long nowMs, Deferred deferred) {
        if (mAnswer != Answer.NOT_KNOWN || mCallOpen || nowMs < mNextTryMs) {
            return;
        }
        submit(nowMs, new PlatformCall.Get(KEY), deferred);
    }

    private void submit(long nowMs, PlatformCall call, Deferred deferred) {
        mCallOpen = true;
        deferred.add(
                () ->
                        mPlatform.submit(
                                nowMs,
                                call,
                                (atMs, reply) -> mGuard.locked(d -> replied(atMs, reply, d))));
    }

    private void replied(long nowMs, PlatformReply reply, Deferred deferred) {
        mCallOpen = false;
        if (reply instanceof PlatformReply.Written) {
            mAnswer = Answer.SAME;
        } else if (reply instanceof PlatformReply.Found found) {
            compare(found.object().value());
        } else if (reply instanceof PlatformReply.Missing) {
            submit(nowMs, new PlatformCall.Create(KEY, Json.encode(mOwn)), deferred);
        } else {
            mFailures++;
            mNextTryMs = nowMs + BACKOFF.waitMs(mFailures, mRandom);
        }
    }

    private void compare(String theirs) {
        boolean same = Json.decode(theirs, Agreed.class).filter(mOwn::equals).isDefined();
        mTheirs = theirs;
        mAnswer = same ? Answer.SAME : Answer.DIFFERENT;
    }
}
