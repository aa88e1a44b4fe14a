/** Failure detection and membership of the routers: probes, gossip and the platform's list. */
package org.hornbeampass.coordination.membership;
