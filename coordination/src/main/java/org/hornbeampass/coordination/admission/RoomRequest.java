package org.hornbeampass.coordination.admission;

import org.hornbeampass.coordination.limit.AdmissionRequest;

import java.util.function.LongSupplier;

/**
 * A request that asks for a place at a service.
 *
 * @param admission its organisation, priority, cost and the deadline of its answer
 * @param maxWaitMs how long it may wait for a place, in milliseconds
 * @param identity returns a hash that repeats of the request share; computed only where it is
 *     needed
 */
public record RoomRequest(AdmissionRequest admission, long maxWaitMs, LongSupplier identity) {}
