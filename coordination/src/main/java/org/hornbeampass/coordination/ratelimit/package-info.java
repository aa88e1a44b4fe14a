/** Keeps the fleet's requests to each upstream within the rate that the upstream has named. */
package org.hornbeampass.coordination.ratelimit;
