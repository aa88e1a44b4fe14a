package org.hornbeampass.protocol.admin;

import org.hornbeampass.state.OrganisationId;

/**
 * A caller's new key, which is shown this once and kept only as a hash.
 *
 * <p>Immutable; safe for use by any thread. {@link #toString()} leaves the key out.
 *
 * @param organisation the organisation that the key speaks for
 * @param name the key's name, by which it is revoked
 * @param key the key itself
 * @param revision the configuration revision from which it is accepted
 */
public record KeyCreated(OrganisationId organisation, String name, String key, long revision) {
    @Override
    public String toString() {
        return "KeyCreated[" + organisation + "/" + name + " at " + revision + "]";
    }
}
