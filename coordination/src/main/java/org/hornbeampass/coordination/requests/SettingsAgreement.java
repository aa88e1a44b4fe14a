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
 * Checks that this VM decides the request log with the settings that the whole fleet uses.
 *
 * <p>The first VM of the fleet writes its settings to the platform by a conditional create; all
 * later ones compare stored with them. Invariants: two VMs whose settings differ never both match;
 * the result, once known, does not change. If a reply is lost, the call is repeated. Not
 * thread-safe; guarded by the ledger's lock.
 */
final class SettingsAgreement {
    /** The platform key of the settings. */
    static final String KEY = "requests/settings";

    /**
     * The version of the rules by which entries are decided; increased with every change of the
     * rules.
     */
    static final int RULES_VERSION = 2;

    private static final RetryPolicy BACKOFF = new RetryPolicy(50, 2_000, Integer.MAX_VALUE);

    private final Platform mPlatform;
    private final SharedSettings mOwnSettings;
    private final AfterUnlockActions.LockRunner mLockRunner;
    private final SplittableRandom mRandom;

    private Comparison mComparison = Comparison.UNKNOWN;
    private String mStoredSettings = "";
    private boolean mCallOpen;
    private int mFailures;
    private long mNextTryMs = Long.MIN_VALUE;

    /** The result of comparing the settings of this VM with those of the fleet. */
    private enum Comparison {
        UNKNOWN,
        SAME,
        DIFFERENT
    }

    /**
     * The settings that must be equal on all VMs.
     *
     * @param rules the version of the rules by which entries are decided
     * @param shards the number of shards
     * @param retention how long ids are remembered
     */
    record SharedSettings(int rules, int shards, Retention retention) {}

    SettingsAgreement(
            Platform platform,
            LedgerSettings settings,
            AfterUnlockActions.LockRunner lockRunner,
            SplittableRandom random) {
        mPlatform = platform;
        mOwnSettings = new SharedSettings(RULES_VERSION, settings.shards(), settings.retention());
        mLockRunner = lockRunner;
        mRandom = random;
    }

    /**
     * Returns whether the settings are known to match, so that this VM may read and write the log.
     */
    boolean isMatching() {
        return mComparison == Comparison.SAME;
    }

    /** Returns why this VM must not read and write the log; empty if the settings match. */
    Optional<Failure> readinessFailure() {
        return switch (mComparison) {
            case SAME -> Optional.empty();
            case UNKNOWN ->
                    Optional.of(
                            Failure.of(
                                    ErrorKind.NOT_READY,
                                    "the settings of the request log are not read yet from "
                                            + KEY));
            case DIFFERENT ->
                    Optional.of(
                            Failure.of(
                                    ErrorKind.NOT_READY,
                                    "the request log settings of this VM, "
                                            + Json.encode(mOwnSettings)
                                            + ", differ from those of the fleet, "
                                            + mStoredSettings
                                            + ", stored at "
                                            + KEY
                                            + "; start this VM with the fleet's settings and"
                                            + " version"));
        };
    }

    /** Reads the settings from the platform, if that is due. */
    void step(long nowMs, AfterUnlockActions deferred) {
        if (mComparison != Comparison.UNKNOWN || mCallOpen || nowMs < mNextTryMs) {
            return;
        }
        submit(nowMs, new PlatformCall.Get(KEY), deferred);
    }

    private void submit(long nowMs, PlatformCall call, AfterUnlockActions deferred) {
        mCallOpen = true;
        deferred.add(
                () ->
                        mPlatform.submit(
                                nowMs,
                                call,
                                (atMs, reply) ->
                                        mLockRunner.runLocked(d -> onReply(atMs, reply, d))));
    }

    private void onReply(long nowMs, PlatformReply reply, AfterUnlockActions deferred) {
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

    private void compare(String stored) {
        boolean same =
                Json.decode(stored, SharedSettings.class).filter(mOwnSettings::equals).isDefined();
        mStoredSettings = stored;
        mComparison = same ? Comparison.SAME : Comparison.DIFFERENT;
    }
}
