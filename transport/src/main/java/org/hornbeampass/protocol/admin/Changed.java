package org.hornbeampass.protocol.admin;

/**
 * The answer to an accepted change of the configuration.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param name the changed object's name
 * @param revision the configuration revision that carries the change
 */
public record Changed(String name, long revision) {}
