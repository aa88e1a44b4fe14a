package org.hornbeampass.protocol.admin;

import org.hornbeampass.state.config.UpstreamSpec;

/**
 * An upstream as operators see it.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param revision the configuration revision of its last change
 * @param spec what operators set of it
 */
public record UpstreamView(long revision, UpstreamSpec spec) {}
