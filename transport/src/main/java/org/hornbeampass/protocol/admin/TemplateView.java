package org.hornbeampass.protocol.admin;

import org.hornbeampass.state.config.Parameters;

/**
 * A template as operators see it.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param name the template's name
 * @param revision the configuration revision of its last change
 * @param parameters the terms that it sets
 */
public record TemplateView(String name, long revision, Parameters parameters) {}
