package org.hornbeampass.router.admin;

/**
 * An operator's key as the settings hold it.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param name whose it is, for logs
 * @param sha256 the key's SHA-256 in lower-case hex
 */
public record OperatorKey(String name, String sha256) {}
