package org.hornbeampass.router.relay;

/**
 * What changed last at this VM as a whole: its configuration, and whether it is shutting down.
 *
 * <p>Confined to one event loop.
 */
public final class VmChanges {
    private static final long NEVER = -1;

    private long mConfigVersion;
    private long mConfiguredMs = NEVER;
    private long mStoppingMs = NEVER;

    /** Records that a configuration of a version came into force. */
    public void onConfig(long nowMs, long version) {
        mConfigVersion = version;
        mConfiguredMs = nowMs;
    }

    /** Records that the shutdown has begun. */
    public void onStopping(long nowMs) {
        mStoppingMs = nowMs;
    }

    /** Returns the version and the age of the configuration and of the shutdown, -1 for none. */
    LogFields fields(long nowMs) {
        return new LogFields()
                .add("config_version", mConfigVersion)
                .add("config_age_ms", ageMs(nowMs, mConfiguredMs))
                .add("stopping_ms", ageMs(nowMs, mStoppingMs));
    }

    private static long ageMs(long nowMs, long sinceMs) {
        return sinceMs == NEVER ? NEVER : nowMs - sinceMs;
    }
}
