/** Immutable values shared by all layers; this lowest layer depends on no other layer. */
package org.hornbeampass.state;
