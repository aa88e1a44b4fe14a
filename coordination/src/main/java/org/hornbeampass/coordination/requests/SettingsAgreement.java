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
    static final int RULES_VERSION = 2;

    private static final RetryPolicy BACKOFF = new RetryPolicy(50, 2_000, Integer.MAX_VALUE);

    private final Platform mPlatform;
    private final SharedSettings mOwnSettings;
    private final DeferredActions.LockRunner mLockRunner;
    private final SplittableRandom mRandom;

    private Comparison mComparison = Comparison.UNKNOWN;
    private String mStoredSettings = "";
    private boolean mCallOpen;
    private int mFailures;
    private long mNextTryMs = Long.MIN_VALUE;

    /** What is known. */
    private enum Comparison {
        UNKNOWN,
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
    record SharedSettings(int rules, int shards, Retention retention) {}

    SettingsAgreement(
            Platform platform,
            LedgerSettings settings,
            DeferredActions.LockRunner guard,
            SplittableRandom random) {
        mPlatform = platform;
        mOwnSettings = new SharedSettings(RULES_VERSION, settings.shards(), settings.retention());
        mLockRunner = guard;
        mRandom = random;
    }

    /** Returns whether this VM may read and write the log. */
    boolean isMatching() {
        return mComparison == Comparison.SAME;
    }

    /** Returns why this VM may not, if so. */
    Optional<Failure> readinessFailure() {
        return switch (mComparison) {
            case SAME -> Optional.empty();
            case UNKNOWN ->
                    Optional.of(
                            Failure.of(
                                    ErrorKind.NOT_READY,
                                    "the request log's settings are not read yet from " + KEY));
            case DIFFERENT ->
                    Optional.of(
                            Failure.of(
                                    ErrorKind.NOT_READY,
                                    "this VM's settings of the request log, "
                                            + Json.encode(mOwnSettings)
                                            + ", are not the fleet's, "
                                            + mStoredSettings
                                            + ", kept at "
                                            + KEY
                                            + "; start this VM with the fleet's settings and"
                                            + " version"));
        };
    }

    /** Asks the platform where that is due. */
    void step(long nowMs, DeferredActions deferred) {
        if (mComparison != Comparison.UNKNOWN || mCallOpen || nowMs < mNextTryMs) {
            return;
        }
        submit(nowMs, new PlatformCall.Get(KEY), deferred);
    }

    private void submit(long nowMs, PlatformCall call, DeferredActions deferred) {
        mCallOpen = true;
        deferred.add(
                () ->
                        mPlatform.submit(
                                nowMs,
                                call,
                                (atMs, reply) ->
                                        mLockRunner.runLocked(d -> onReply(atMs, reply, d))));
    }

    private void onReply(long nowMs, PlatformReply reply, DeferredActions deferred) {
        mCallOpen = false;
        if (reply instanceof PlatformReply.Written) {
            mComparison = Comparison.SAME;
        } else if (reply instanceof PlatformReply.Found found) {
            compare(found.object().value());
        } else if (reply instanceof PlatformReply.Missing) {
            submit(nowMs, new PlatformCall.Create(KEY, Json.encode(mOwnSettings)), deferred);
        } else {
            mFailures++;
            mNextTryMs = nowMs + BACKOFF.waitMs(mFailures, mRandom);
        }
    }

    private void compare(String theirs) {
        boolean same =
                Json.decode(theirs, SharedSettings.class).filter(mOwnSettings::equals).isDefined();
        mStoredSettings = theirs;
        mComparison = same ? Comparison.SAME : Comparison.DIFFERENT;
    }
}
