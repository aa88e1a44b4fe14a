/** The fleet's routers as one VM sees them, as immutable values. */
package org.hornbeampass.state.member;
