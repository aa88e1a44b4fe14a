package org.hornbeampass.testing;

import org.hornbeampass.state.VmId;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.LongConsumer;

/**
 * Which VMs run, are paused or are dead, and what waits for the paused ones.
 *
 * <p>All that reaches a VM (ticks, replies, messages) goes through {@link #deliver}: a paused VM
 * gets it when it resumes, in order; a dead one never. Not thread-safe: tests run on one thread.
 */
public final class FakeVms {
    private final VirtualTime mTime;
    private final Set<VmId> mDead = new HashSet<>();
    private final Map<VmId, Deque<LongConsumer>> mPaused = new HashMap<>();

    /** Creates a set of VMs that all run. */
    public FakeVms(VirtualTime time) {
        mTime = time;
    }

    /** Runs a task on a VM now, when it resumes, or never. */
    public void deliver(VmId vm, LongConsumer task) {
        if (mDead.contains(vm)) {
            return;
        }
        Deque<LongConsumer> waiting = mPaused.get(vm);
        if (waiting != null) {
            waiting.addLast(task);
            return;
        }
        task.accept(mTime.nowMs());
    }

    /** Pauses a VM: it does nothing, and its timers stand still, until it resumes. */
    public void pause(VmId vm) {
        mPaused.computeIfAbsent(vm, v -> new ArrayDeque<>());
    }

    /** Lets a paused VM go on with what waited for it. */
    public void resume(VmId vm) {
        Deque<LongConsumer> waiting = mPaused.remove(vm);
        if (waiting != null) {
            waiting.forEach(t -> deliver(vm, t));
        }
    }

    /** Kills one life of a VM for good. */
    public void kill(VmId vm) {
        mDead.add(vm);
        mPaused.remove(vm);
    }

    /** Returns whether this life of a VM is over. */
    public boolean isDead(VmId vm) {
        return mDead.contains(vm);
    }

    /** Returns whether a VM is paused. */
    public boolean isPaused(VmId vm) {
        return mPaused.containsKey(vm);
    }
}
