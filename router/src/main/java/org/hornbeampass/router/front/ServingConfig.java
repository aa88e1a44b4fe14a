package org.hornbeampass.router.front;

import org.hornbeampass.state.ModelId;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.config.ConfigSnapshot;
import org.hornbeampass.state.config.OrganisationSpec;
import org.hornbeampass.state.config.OrganisationTerms;
import org.hornbeampass.state.config.UpstreamSpec;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * One revision of the configuration, indexed for the lookups that each request needs.
 *
 * <p>Immutable; safe for use by any thread. Created once for each revision.
 */
public final class ServingConfig {
    private final ConfigSnapshot mSnapshot;
    private final CallerKeys mKeys;
    private final Map<OrganisationId, Caller> mCallers;
    private final Set<ModelId> mModels;
    private final Set<String> mServices;

    /**
     * An organisation with its terms in force.
     *
     * @param spec the organisation as configured by operators
     * @param terms its terms in force, from its template and its overrides
     */
    public record Caller(OrganisationSpec spec, OrganisationTerms terms) {}

    private ServingConfig(
            ConfigSnapshot snapshot,
            Map<OrganisationId, Caller> callers,
            Set<ModelId> models,
            Set<String> services) {
        mSnapshot = snapshot;
        mKeys = CallerKeys.of(snapshot);
        mCallers = Map.copyOf(callers);
        mModels = Set.copyOf(models);
        mServices = Set.copyOf(services);
    }

    /** Returns the index of a configuration. */
    public static ServingConfig of(ConfigSnapshot snapshot) {
        Map<OrganisationId, Caller> callers = new HashMap<>();
        for (OrganisationSpec spec : snapshot.organisations().values()) {
            snapshot.terms(spec.id())
                    .ifPresent(terms -> callers.put(spec.id(), new Caller(spec, terms)));
        }
        Set<ModelId> models = new HashSet<>();
        Set<String> services = new HashSet<>();
        for (UpstreamSpec upstream : snapshot.upstreams().values()) {
            upstream.model().ifPresent(models::add);
            upstream.service().ifPresent(services::add);
        }
        return new ServingConfig(snapshot, callers, models, services);
    }

    /** Returns the configuration that is indexed. */
    public ConfigSnapshot snapshot() {
        return mSnapshot;
    }

    /** Returns the organisation that owns the key in an {@code Authorization} header. */
    public Optional<Caller> caller(Optional<String> authorization) {
        return mKeys.organisation(authorization).map(mCallers::get);
    }

    /** Returns whether any upstream serves a model. */
    public boolean hasModel(ModelId model) {
        return mModels.contains(model);
    }

    /** Returns whether any upstream is an instance of a plain service. */
    public boolean hasService(String service) {
        return mServices.contains(service);
    }
}
