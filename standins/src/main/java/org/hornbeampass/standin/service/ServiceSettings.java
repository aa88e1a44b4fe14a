package org.hornbeampass.standin.service;

import org.hornbeampass.standin.admin.Listen;

/**
 * The settings of a service stand-in.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param listen where it listens
 * @param replyMs how long each call takes, in milliseconds
 * @param seed the seed of its faults
 */
public record ServiceSettings(Listen listen, long replyMs, long seed) {
    /** Returns a service on the loopback interface that answers at once. */
    public static ServiceSettings defaults() {
        return new ServiceSettings(Listen.loopback(), 0, 1);
    }

    /** Returns these settings with another place to listen. */
    public ServiceSettings withListen(Listen other) {
        return new ServiceSettings(other, replyMs, seed);
    }
}
