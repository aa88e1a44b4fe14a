package org.hornbeampass.coordination.service;

/**
 * The upstream that was chosen for a request.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param instance the upstream
 * @param tokensToRead the prompt tokens that it has to read for the request, as far as known: not
 *     the shared parts where they most likely lie there
 */
public record UpstreamChoice(UpstreamInstance instance, long tokensToRead) {}
