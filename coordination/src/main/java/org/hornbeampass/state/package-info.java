/** Immutable values and shared tables; the lowest layer, which depends on no other layer. */
package org.hornbeampass.state;
