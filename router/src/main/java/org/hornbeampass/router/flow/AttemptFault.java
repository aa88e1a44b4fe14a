package org.hornbeampass.router.flow;

import org.hornbeampass.coordination.limit.AttemptOutcome;

/**
 * How an attempt failed.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param outcome how it ended
 * @param reason what happened, for logs
 */
public record AttemptFault(AttemptOutcome outcome, String reason) {}
