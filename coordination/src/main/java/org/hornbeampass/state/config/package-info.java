/** The accepted configuration as immutable values. */
package org.hornbeampass.state.config;
