/**
 * Keeps the fleet's requests to each upstream within the rate limit that the upstream announced.
 */
package org.hornbeampass.coordination.ratelimit;
