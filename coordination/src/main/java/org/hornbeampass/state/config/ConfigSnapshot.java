package org.hornbeampass.state.config;

import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.UpstreamId;

import java.util.Map;
import java.util.Optional;

/**
 * The whole accepted configuration at one revision.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param revision grows by one with each accepted change; 0 is the empty configuration
 * @param templates templates by name
 * @param organisations organisations by id
 * @param upstreams upstreams by id
 */
public record ConfigSnapshot(
        long revision,
        Map<String, Template> templates,
        Map<OrganisationId, OrganisationSpec> organisations,
        Map<UpstreamId, UpstreamSpec> upstreams) {
    /** Copies the maps. */
    public ConfigSnapshot {
        templates = Map.copyOf(templates);
        organisations = Map.copyOf(organisations);
        upstreams = Map.copyOf(upstreams);
    }

    /** Returns the configuration before the first change. */
    public static ConfigSnapshot empty() {
        return new ConfigSnapshot(0, Map.of(), Map.of(), Map.of());
    }

    /** Returns an organisation's terms in force; empty where it or its template is unknown. */
    public Optional<OrganisationTerms> terms(OrganisationId id) {
        OrganisationSpec organisation = organisations.get(id);
        if (organisation == null) {
            return Optional.empty();
        }
        return Optional.ofNullable(templates.get(organisation.template()))
                .map(t -> OrganisationTerms.of(organisation.overrides().over(t.parameters())));
    }
}
