package org.hornbeampass.router.daemon;

import com.sun.management.OperatingSystemMXBean;

import org.hornbeampass.router.relay.LogFields;
import org.hornbeampass.router.relay.RelayLog;

import java.lang.management.ManagementFactory;
import java.util.Optional;

/**
 * Reads how much processor time the process has used.
 *
 * <p>Confined to one event loop.
 */
final class ProcessorTime {
    private static final long UNKNOWN = -1;

    private final RelayLog mLog;
    private final Optional<OperatingSystemMXBean> mSystem;
    private boolean mLogged;

    /** Creates the reader; the log receives a line if the processor time can't be read. */
    ProcessorTime(RelayLog log) {
        mLog = log;
        mSystem =
                Optional.ofNullable(
                        ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class));
    }

    /** Returns the processor time since the start in nanoseconds; negative if it is unknown. */
    long usedNs(long nowMs) {
        long usedNs = mSystem.map(OperatingSystemMXBean::getProcessCpuTime).orElse(UNKNOWN);
        if (usedNs < 0 && !mLogged) {
            mLogged = true;
            mLog.logStateChange(nowMs, "processor-time-unknown", new LogFields());
        }
        return usedNs;
    }
}
