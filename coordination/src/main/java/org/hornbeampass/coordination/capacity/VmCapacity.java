package org.hornbeampass.coordination.capacity;

/**
 * What a VM can carry, as its settings state it.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param cores the processor time that the VM has in each second, in seconds of a whole core
 * @param linkMbps the speed of its link in each direction, in megabits per second
 * @param memoryMb its memory, in megabytes
 */
public record VmCapacity(double cores, double linkMbps, long memoryMb) {}
