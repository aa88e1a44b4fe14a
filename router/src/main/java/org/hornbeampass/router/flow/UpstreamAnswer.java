package org.hornbeampass.router.flow;

/**
 * A whole answer of an upstream.
 *
 * <p>The body is not changed once the value is made; safe for use by any thread.
 *
 * @param status the HTTP status
 * @param contentType the content type
 * @param body the body
 */
@SuppressWarnings("ArrayRecordComponent")
public record UpstreamAnswer(int status, String contentType, byte[] body) {}
