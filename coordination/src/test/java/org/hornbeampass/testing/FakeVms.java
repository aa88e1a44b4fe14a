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
 * Tracks which VMs are running, paused or dead, and queues the tasks of paused VMs.
 *
 * <p>All tasks of a VM (ticks, replies, messages) are passed to {@link #deliver}: a paused VM runs
 * them in order when it resumes, and a dead VM never runs them. Not thread-safe: tests run on one
 * thread.
 */
public final class FakeVms {
    private final VirtualTime mTime;
    private final Set<VmId> mDead = new HashSet<>();
    private final Map<VmId, Deque<LongConsumer>> mTasksByPausedVm = new HashMap<>();

    /** Creates an instance in which all VMs are running. */
    public FakeVms(VirtualTime time) {
        mTime = time;
    }

    /** Runs a task on a VM now, when it resumes if it is paused, or never if it is dead. */
    public void deliver(VmId vm, LongConsumer task) {
        if (mDead.contains(vm)) {
            return;
        }
        Deque<LongConsumer> tasks = mTasksByPausedVm.get(vm);
        if (tasks != null) {
            tasks.addLast(task);
            return;
        }
        task.accept(mTime.nowMs());
    }

    /** Pauses a VM: its tasks and timers do not run until it resumes. */
    public void pause(VmId vm) {
        mTasksByPausedVm.computeIfAbsent(vm, v -> new ArrayDeque<>());
    }

    /** Resumes a paused VM and runs its queued tasks. */
    public void resume(VmId vm) {
        Deque<LongConsumer> tasks = mTasksByPausedVm.remove(vm);
        if (tasks != null) {
            tasks.forEach(t -> deliver(vm, t));
        }
    }

    /** Kills one incarnation of a VM permanently. */
    public void kill(VmId vm) {
        mDead.add(vm);
        mTasksByPausedVm.remove(vm);
    }

    /** Returns whether an incarnation of a VM has been killed. */
    public boolean isDead(VmId vm) {
        return mDead.contains(vm);
    }

    /** Returns whether a VM is paused. */
    public boolean isPaused(VmId vm) {
        return mTasksByPausedVm.containsKey(vm);
    }
}
