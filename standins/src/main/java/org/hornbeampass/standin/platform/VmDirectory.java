package org.hornbeampass.standin.platform;

import org.hornbeampass.coordination.platform.MemoryPlatform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.standin.admin.TimedActions;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The platform's own list of VMs, whose objects below {@code vms/} follow the truth with a lag.
 *
 * <p>Invariant: changes reach the objects in the order in which they were made, unless the lag is
 * made shorter between them. Its writes are the platform's own: neither metered nor struck by
 * faults. Thread-safe: one lock guards the truth and is held for no call.
 */
public final class VmDirectory {
    /** The prefix of the objects' keys. */
    public static final String PREFIX = "vms/";

    private final Object mLock = new Object();
    private final MemoryPlatform mPlatform;
    private final TimedActions mActions;
    private final TreeMap<String, String> mTruth = new TreeMap<>();
    private long mLagMs;

    /**
     * Creates an empty list.
     *
     * @param platform holds the objects
     * @param actions runs the late changes
     * @param lagMs how late the objects are, in milliseconds
     */
    public VmDirectory(MemoryPlatform platform, TimedActions actions, long lagMs) {
        mPlatform = platform;
        mActions = actions;
        mLagMs = lagMs;
    }

    /** Changes the lag of further changes, in milliseconds. */
    public void setLagMs(long lagMs) {
        synchronized (mLock) {
            mLagMs = lagMs;
        }
    }

    /** Puts a VM on the list, or changes its entry, such as to say that it is leaving. */
    public void register(long nowMs, String name, String json) {
        change(nowMs, name, Optional.of(json));
    }

    /** Takes a VM off the list. */
    public void remove(long nowMs, String name) {
        change(nowMs, name, Optional.empty());
    }

    /** Returns the list without its lag. */
    public Map<String, String> truth() {
        synchronized (mLock) {
            return new TreeMap<>(mTruth);
        }
    }

    private void change(long nowMs, String name, Optional<String> json) {
        long dueMs;
        synchronized (mLock) {
            json.ifPresentOrElse(j -> mTruth.put(name, j), () -> mTruth.remove(name));
            dueMs = nowMs + mLagMs;
        }
        mActions.at(dueMs, t -> write(t, PREFIX + name, json));
        mActions.runDue(nowMs);
    }

    private void write(long nowMs, String key, Optional<String> json) {
        mPlatform.submit(
                nowMs,
                new PlatformCall.Get(key),
                (at, reply) ->
                        next(key, json, reply)
                                .ifPresent(call -> mPlatform.submit(at, call, (t, r) -> {})));
    }

    private static Optional<PlatformCall> next(
            String key, Optional<String> json, PlatformReply current) {
        if (!(current instanceof PlatformReply.Found found)) {
            return json.map(value -> new PlatformCall.Create(key, value));
        }
        long version = found.object().version();
        return Optional.of(
                json.<PlatformCall>map(value -> new PlatformCall.Update(key, value, version))
                        .orElseGet(() -> new PlatformCall.Delete(key, version)));
    }
}
