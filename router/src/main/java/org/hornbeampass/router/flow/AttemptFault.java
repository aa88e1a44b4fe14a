package org.hornbeampass.router.flow;

import org.hornbeampass.coordination.limit.AttemptOutcome;

/**
 * Describes how an attempt failed.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param outcome the outcome of the attempt
 * @param reason a description of the failure, for logs
 */
public record AttemptFault(AttemptOutcome outcome, String reason) {}
