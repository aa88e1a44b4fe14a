/** Immutable values of the accepted configuration. */
package org.hornbeampass.state.config;
