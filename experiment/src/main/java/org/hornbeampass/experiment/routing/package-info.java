/** Seeded experiments in virtual time on routing, limits, faults of upstreams, and orders. */
package org.hornbeampass.experiment.routing;
