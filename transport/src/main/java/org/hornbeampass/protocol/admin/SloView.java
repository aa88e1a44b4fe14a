package org.hornbeampass.protocol.admin;

import org.hornbeampass.coordination.slo.BurnReport;
import org.hornbeampass.state.VmId;

/**
 * What one router counted against service-level objectives.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param vm the router
 * @param nowMs its time, in milliseconds since 1970
 * @param report its counts
 */
public record SloView(VmId vm, long nowMs, BurnReport report) {}
