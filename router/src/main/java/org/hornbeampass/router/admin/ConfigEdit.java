package org.hornbeampass.router.admin;

import org.hornbeampass.state.config.OrganisationSpec;
import org.hornbeampass.state.config.Template;
import org.hornbeampass.state.config.UpstreamSpec;

/**
 * One change of the configuration that an operator proposes.
 *
 * <p>Immutable; safe for use by any thread.
 */
public sealed interface ConfigEdit {
    /** Returns the object that the change is about. */
    ConfigObject object();

    /** Creates or replaces a template. */
    record PutTemplate(Template template) implements ConfigEdit {
        @Override
        public ConfigObject object() {
            return ConfigObject.template(template.name());
        }
    }

    /** Creates or replaces an organisation. */
    record PutOrganisation(OrganisationSpec organisation) implements ConfigEdit {
        @Override
        public ConfigObject object() {
            return ConfigObject.organisation(organisation.id().value());
        }
    }

    /** Creates or replaces an upstream. */
    record PutUpstream(UpstreamSpec upstream) implements ConfigEdit {
        @Override
        public ConfigObject object() {
            return ConfigObject.upstream(upstream.id().value());
        }
    }

    /** Deletes an object. */
    record Delete(ConfigObject object) implements ConfigEdit {}
}
