package org.hornbeampass.router.daemon;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.coordination.platform.StoreVersion;
import org.hornbeampass.router.relay.LogFields;
import org.hornbeampass.router.relay.RelayLog;

import java.util.OptionalLong;

/**
 * Logs when the store is restored from an older copy, or states an older version than before.
 *
 * <p>Confined to one event loop.
 */
final class StoreHistoryMonitor {
    private final RelayLog mLog;
    private long mEra;
    private long mVersion;

    StoreHistoryMonitor(RelayLog log, MetricRegistry metrics) {
        mLog = log;
        metrics.register("store_era", (Gauge<Long>) () -> mEra);
        metrics.register("store_revision", (Gauge<Long>) () -> StoreVersion.revision(mVersion));
    }

    /** Returns the highest version of the store that an answer has stated. */
    long version() {
        return mVersion;
    }

    /** Processes the era that an answer states. */
    void onEra(long nowMs, long era) {
        if (era <= mEra) {
            return;
        }
        mLog.logStateChange(
                nowMs,
                "store-era",
                new LogFields()
                        .add("former_era", mEra)
                        .add("era", era)
                        .addVersion("revision", mVersion));
        mEra = era;
    }

    /**
     * Processes an answer, which states at least the version that was known before its call.
     *
     * @param nowMs the present time in milliseconds
     * @param reply the answer
     * @param versionBefore the highest version that was known before the call
     */
    void onReply(long nowMs, PlatformReply reply, long versionBefore) {
        OptionalLong stated = storeVersion(reply);
        if (stated.isEmpty()) {
            return;
        }
        long version = stated.getAsLong();
        if (version < versionBefore) {
            mLog.logStateChange(
                    nowMs,
                    "store-revision-lower",
                    new LogFields()
                            .add("answer", reply.getClass().getSimpleName())
                            .addVersion("revision", version)
                            .addVersion("known", versionBefore));
        }
        mVersion = Math.max(mVersion, version);
    }

    /** Returns the version of the whole store that an answer states. */
    private static OptionalLong storeVersion(PlatformReply reply) {
        if (reply instanceof PlatformReply.Listed listed) {
            return OptionalLong.of(listed.storeVersion());
        }
        if (reply instanceof PlatformReply.Changed changed) {
            return OptionalLong.of(changed.upToVersion());
        }
        if (reply instanceof PlatformReply.Written written
                && StoreVersion.revision(written.version()) > 0) {
            return OptionalLong.of(written.version());
        }
        return OptionalLong.empty();
    }
}
