package org.hornbeampass.coordination.service;

/**
 * The upstream chosen for a request.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param instance the upstream
 * @param tokensToRead the prompt tokens that it is expected to read for the request: without the
 *     shared parts where they are most likely cached there
 */
public record UpstreamChoice(UpstreamInstance instance, long tokensToRead) {}
