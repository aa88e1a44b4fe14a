/** Which routers are up, decided by probes and gossip between them and by the platform's list. */
package org.hornbeampass.coordination.membership;
