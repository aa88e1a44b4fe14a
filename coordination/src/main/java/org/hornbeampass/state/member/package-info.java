/** Immutable values for the fleet's routers as one VM sees them. */
package org.hornbeampass.state.member;
