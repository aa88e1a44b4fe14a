package org.hornbeampass.experiment.path;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;

/**
 * Sums the processor time of the threads of one part.
 *
 * <p>Stateless; safe for use by any thread.
 */
final class ThreadCpu {
    private ThreadCpu() {}

    /** Returns the processor time in nanoseconds of all live threads whose name has a prefix. */
    static long ofThreads(String prefix) {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long sum = 0;
        for (ThreadInfo info : threads.getThreadInfo(threads.getAllThreadIds())) {
            if (info != null && info.getThreadName().startsWith(prefix)) {
                sum += Math.max(0, threads.getThreadCpuTime(info.getThreadId()));
            }
        }
        return sum;
    }
}
