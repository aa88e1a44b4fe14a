/** Chooses an upstream for each attempt of a request. */
package org.hornbeampass.coordination.routing;
