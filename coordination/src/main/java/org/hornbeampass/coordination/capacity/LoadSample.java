package org.hornbeampass.coordination.capacity;

/**
 * What a VM has done since its start and what it holds at present.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param requests the requests and streams accepted since the start
 * @param processorNs the processor time used since the start, in nanoseconds; negative if unknown
 * @param bytesRead the bytes read since the start
 * @param bytesWritten the bytes written since the start
 * @param heldBytes the memory held for connections at present, in bytes
 * @param loopDelayMs how late the event loop is at present, in milliseconds
 */
public record LoadSample(
        long requests,
        long processorNs,
        long bytesRead,
        long bytesWritten,
        long heldBytes,
        long loopDelayMs) {}
