package org.hornbeampass.router.relay;

/**
 * What the head of an upstream's answer says of the request, and of the upstream itself.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param kind what became of the request
 * @param leaving whether the upstream says that it leaves
 */
public record AnswerHead(AnswerClass kind, boolean leaving) {}
