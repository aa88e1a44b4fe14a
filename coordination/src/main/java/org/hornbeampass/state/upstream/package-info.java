/** What is known of upstreams, as immutable values. */
package org.hornbeampass.state.upstream;
