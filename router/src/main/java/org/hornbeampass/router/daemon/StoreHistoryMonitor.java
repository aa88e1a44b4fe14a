package org.hornbeampass.router.daemon;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.router.relay.LogFields;
import org.hornbeampass.router.relay.RelayLog;

import java.util.OptionalLong;

/**
 * Logs when the store is restored from an older copy, or states an older revision than before.
 *
 * <p>Confined to one event loop.
 */
final class StoreHistoryMonitor {
    private final RelayLog mLog;
    private long mEra;
    private long mRevision;

    StoreHistoryMonitor(RelayLog log, MetricRegistry metrics) {
        mLog = log;
        metrics.register("store_era", (Gauge<Long>) () -> mEra);
        metrics.register("store_revision", (Gauge<Long>) () -> mRevision);
    }

    /** Returns the highest revision that an answer has stated. */
    long revision() {
        return mRevision;
    }

    /** Processes the era that an answer states. */
    void onEra(long nowMs, long era) {
        if (era <= mEra) {
            return;
        }
        mLog.logStateChange(
                nowMs,
                "store-era",
                new LogFields().add("former_era", mEra).add("era", era).add("revision", mRevision));
        mEra = era;
    }

    /**
     * Processes an answer, which states at least the revision that was known before its call.
     *
     * @param nowMs the present time in milliseconds
     * @param reply the answer
     * @param revisionBefore the highest revision that was known before the call
     */
    void onReply(long nowMs, PlatformReply reply, long revisionBefore) {
        OptionalLong stated = storeRevision(reply);
        if (stated.isEmpty()) {
            return;
        }
        long revision = stated.getAsLong();
        if (revision < revisionBefore) {
            mLog.logStateChange(
                    nowMs,
                    "store-revision-lower",
                    new LogFields()
                            .add("answer", reply.getClass().getSimpleName())
                            .add("revision", revision)
                            .add("known", revisionBefore)
                            .add("era", mEra));
        }
        mRevision = Math.max(mRevision, revision);
    }

    /** Returns the revision of the whole store that an answer states. */
    private static OptionalLong storeRevision(PlatformReply reply) {
        if (reply instanceof PlatformReply.Listed listed) {
            return OptionalLong.of(listed.storeVersion());
        }
        if (reply instanceof PlatformReply.Changed changed) {
            return OptionalLong.of(changed.upToVersion());
        }
        if (reply instanceof PlatformReply.Written written && written.version() > 0) {
            return OptionalLong.of(written.version());
        }
        return OptionalLong.empty();
    }
}
