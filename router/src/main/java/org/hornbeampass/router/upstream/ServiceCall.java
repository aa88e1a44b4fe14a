package org.hornbeampass.router.upstream;

/**
 * A call that is to be sent to an instance of a plain service.
 *
 * <p>The body must not be changed after construction; safe for use by any thread.
 *
 * @param service the service's name
 * @param method the HTTP method
 * @param target the path relative to the instance's base URI, with a leading slash
 * @param contentType the content type of the body
 * @param body the body
 */
@SuppressWarnings("ArrayRecordComponent")
public record ServiceCall(
        String service, String method, String target, String contentType, byte[] body) {}
