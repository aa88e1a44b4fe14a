package org.hornbeampass.state.config;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.UpstreamId;

import java.util.Objects;

/**
 * One change of the configuration, which either sets a whole object or deletes it.
 *
 * <p>Immutable; safe for use by any thread.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = ConfigChange.PutTemplate.class, name = "put-template"),
    @JsonSubTypes.Type(value = ConfigChange.DeleteTemplate.class, name = "delete-template"),
    @JsonSubTypes.Type(value = ConfigChange.PutOrganisation.class, name = "put-organisation"),
    @JsonSubTypes.Type(value = ConfigChange.DeleteOrganisation.class, name = "delete-organisation"),
    @JsonSubTypes.Type(value = ConfigChange.PutUpstream.class, name = "put-upstream"),
    @JsonSubTypes.Type(value = ConfigChange.DeleteUpstream.class, name = "delete-upstream"),
    @JsonSubTypes.Type(value = ConfigChange.PutOperatorKey.class, name = "put-operator-key"),
    @JsonSubTypes.Type(value = ConfigChange.DeleteOperatorKey.class, name = "delete-operator-key"),
})
public sealed interface ConfigChange {
    /** Returns the key of the changed object, such as {@code template/desk}. */
    ObjectKey object();

    /** Returns whether the object is deleted. */
    default boolean deletes() {
        return false;
    }

    /** Sets a template. */
    record PutTemplate(Template template) implements ConfigChange {
        /** Checks that no part is missing. */
        public PutTemplate {
            Objects.requireNonNull(template, "template");
        }

        @Override
        public ObjectKey object() {
            return ObjectKey.template(template.name());
        }
    }

    /** Deletes a template. */
    record DeleteTemplate(String name) implements ConfigChange {
        @Override
        public ObjectKey object() {
            return ObjectKey.template(name);
        }

        @Override
        public boolean deletes() {
            return true;
        }
    }

    /** Sets an organisation. */
    record PutOrganisation(OrganisationSpec organisation) implements ConfigChange {
        /** Checks that no part is missing. */
        public PutOrganisation {
            Objects.requireNonNull(organisation, "organisation");
        }

        @Override
        public ObjectKey object() {
            return ObjectKey.organisation(organisation.id());
        }
    }

    /** Deletes an organisation. */
    record DeleteOrganisation(OrganisationId id) implements ConfigChange {
        @Override
        public ObjectKey object() {
            return ObjectKey.organisation(id);
        }

        @Override
        public boolean deletes() {
            return true;
        }
    }

    /** Sets an upstream. */
    record PutUpstream(UpstreamSpec upstream) implements ConfigChange {
        /** Checks that no part is missing. */
        public PutUpstream {
            Objects.requireNonNull(upstream, "upstream");
        }

        @Override
        public ObjectKey object() {
            return ObjectKey.upstream(upstream.id());
        }
    }

    /** Deletes an upstream. */
    record DeleteUpstream(UpstreamId id) implements ConfigChange {
        @Override
        public ObjectKey object() {
            return ObjectKey.upstream(id);
        }

        @Override
        public boolean deletes() {
            return true;
        }
    }

    /**
     * Sets an operator key.
     *
     * @param name the name of the key
     * @param hash the SHA-256 of the key, in lower-case hex
     */
    record PutOperatorKey(String name, String hash) implements ConfigChange {
        @Override
        public ObjectKey object() {
            return ObjectKey.operatorKey(name);
        }
    }

    /** Deletes an operator key. */
    record DeleteOperatorKey(String name) implements ConfigChange {
        @Override
        public ObjectKey object() {
            return ObjectKey.operatorKey(name);
        }

        @Override
        public boolean deletes() {
            return true;
        }
    }
}
