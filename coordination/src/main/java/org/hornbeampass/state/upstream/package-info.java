/** Immutable values about upstreams: load, cache events, identity and intended state. */
package org.hornbeampass.state.upstream;
