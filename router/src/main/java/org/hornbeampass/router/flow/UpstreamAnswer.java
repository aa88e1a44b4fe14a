package org.hornbeampass.router.flow;

/**
 * A complete answer of an upstream that is not streamed.
 *
 * <p>The body must not be modified once the record is created; safe for use by any thread.
 *
 * @param status the HTTP status
 * @param contentType the content type
 * @param body the body; not copied
 */
@SuppressWarnings("ArrayRecordComponent")
public record UpstreamAnswer(int status, String contentType, byte[] body) {}
