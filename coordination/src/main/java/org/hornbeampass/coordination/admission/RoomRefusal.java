package org.hornbeampass.coordination.admission;

/**
 * Why a request got no place at a service.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param reason what was decided
 * @param waitedMs how long it waited, in milliseconds
 * @param retryAfterMs when it would be served at the present rate, in milliseconds from now
 * @param held this VM's requests in progress at the service
 * @param places how many of them there may be
 * @param waiting how many others wait at this VM
 */
public record RoomRefusal(
        Reason reason, long waitedMs, long retryAfterMs, int held, int places, int waiting) {
    /** The reasons for a refusal. */
    public enum Reason {
        /** It could not be served within its wait at the present rate. */
        TOO_SLOW,
        /** Too many requests waited, and it was the least urgent. */
        SHED,
        /** It waited as long as it may. */
        WAITED,
        /** The upstreams were full as often as its route allows attempts. */
        UPSTREAMS_FULL
    }
}
