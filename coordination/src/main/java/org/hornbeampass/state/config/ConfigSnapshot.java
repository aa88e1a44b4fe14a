package org.hornbeampass.state.config;

import com.fasterxml.jackson.annotation.JsonCreator;

import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.UpstreamId;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The complete accepted configuration at one revision.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param revision increases by one with each accepted change; 0 for the empty configuration
 * @param templates templates by name
 * @param organisations organisations by id
 * @param upstreams upstreams by id
 * @param operatorKeys SHA-256 hashes of the operator keys in lower-case hex, by the name of the key
 * @param objectRevisions the revision of the last change of each existing object
 */
public record ConfigSnapshot(
        long revision,
        Map<String, Template> templates,
        Map<OrganisationId, OrganisationSpec> organisations,
        Map<UpstreamId, UpstreamSpec> upstreams,
        Map<String, String> operatorKeys,
        Map<ObjectKey, Long> objectRevisions) {
    /** Copies the maps. Maps that are missing because an older VM wrote the snapshot are empty. */
    @JsonCreator
    public ConfigSnapshot {
        templates = Map.copyOf(templates);
        organisations = Map.copyOf(organisations);
        upstreams = Map.copyOf(upstreams);
        operatorKeys = operatorKeys == null ? Map.of() : Map.copyOf(operatorKeys);
        objectRevisions = objectRevisions == null ? Map.of() : Map.copyOf(objectRevisions);
    }

    /** Creates a configuration without operator keys and object revisions. */
    public ConfigSnapshot(
            long revision,
            Map<String, Template> templates,
            Map<OrganisationId, OrganisationSpec> organisations,
            Map<UpstreamId, UpstreamSpec> upstreams) {
        this(revision, templates, organisations, upstreams, Map.of(), Map.of());
    }

    /** Returns the configuration before the first change. */
    public static ConfigSnapshot empty() {
        return new ConfigSnapshot(0, Map.of(), Map.of(), Map.of());
    }

    /** Returns the effective terms of an organisation; empty if it or its template is unknown. */
    public Optional<OrganisationTerms> terms(OrganisationId id) {
        OrganisationSpec organisation = organisations.get(id);
        if (organisation == null) {
            return Optional.empty();
        }
        return Optional.ofNullable(templates.get(organisation.template()))
                .map(
                        t ->
                                OrganisationTerms.of(
                                        organisation.overrides().withFallback(t.parameters())));
    }

    /** Returns the revision of an object's last change; 0 if the object does not exist. */
    public long objectRevision(ObjectKey object) {
        return objectRevisions.getOrDefault(object, 0L);
    }

    /** Returns the configuration at the next revision, after a change. */
    public ConfigSnapshot with(ConfigChange change) {
        long next = revision + 1;
        Map<ObjectKey, Long> revisions =
                set(objectRevisions, change.object(), change.deletes() ? null : next);
        if (change instanceof ConfigChange.PutTemplate put) {
            return at(next, set(templates, put.template().name(), put.template()), revisions);
        }
        if (change instanceof ConfigChange.DeleteTemplate delete) {
            return at(next, set(templates, delete.name(), null), revisions);
        }
        if (change instanceof ConfigChange.PutOrganisation put) {
            return withOrganisation(next, put.organisation().id(), put.organisation(), revisions);
        }
        if (change instanceof ConfigChange.DeleteOrganisation delete) {
            return withOrganisation(next, delete.id(), null, revisions);
        }
        if (change instanceof ConfigChange.PutUpstream put) {
            return withUpstream(next, put.upstream().id(), put.upstream(), revisions);
        }
        if (change instanceof ConfigChange.DeleteUpstream delete) {
            return withUpstream(next, delete.id(), null, revisions);
        }
        if (change instanceof ConfigChange.PutOperatorKey put) {
            return withOperatorKey(next, put.name(), put.hash(), revisions);
        }
        ConfigChange.DeleteOperatorKey delete = (ConfigChange.DeleteOperatorKey) change;
        return withOperatorKey(next, delete.name(), null, revisions);
    }

    private ConfigSnapshot at(
            long next, Map<String, Template> newTemplates, Map<ObjectKey, Long> revisions) {
        return new ConfigSnapshot(
                next, newTemplates, organisations, upstreams, operatorKeys, revisions);
    }

    private ConfigSnapshot withOrganisation(
            long next, OrganisationId id, OrganisationSpec spec, Map<ObjectKey, Long> revisions) {
        return new ConfigSnapshot(
                next, templates, set(organisations, id, spec), upstreams, operatorKeys, revisions);
    }

    private ConfigSnapshot withUpstream(
            long next, UpstreamId id, UpstreamSpec spec, Map<ObjectKey, Long> revisions) {
        return new ConfigSnapshot(
                next, templates, organisations, set(upstreams, id, spec), operatorKeys, revisions);
    }

    private ConfigSnapshot withOperatorKey(
            long next, String name, String hash, Map<ObjectKey, Long> revisions) {
        return new ConfigSnapshot(
                next,
                templates,
                organisations,
                upstreams,
                set(operatorKeys, name, hash),
                revisions);
    }

    /** Returns a copy with one entry set, or removed if the value is null. */
    private static <K, V> Map<K, V> set(Map<K, V> from, K key, V value) {
        Map<K, V> copy = new HashMap<>(from);
        if (value == null) {
            copy.remove(key);
        } else {
            copy.put(key, value);
        }
        return copy;
    }
}
