package org.hornbeampass.router.admin;

/**
 * An operator's key as the settings store it.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param name the operator's name, for logs
 * @param sha256 the key's SHA-256 in lower-case hex
 */
public record OperatorKey(String name, String sha256) {}
