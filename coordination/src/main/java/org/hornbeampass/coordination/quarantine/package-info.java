/** Detects requests that crash the upstreams that run them, and quarantines them. */
package org.hornbeampass.coordination.quarantine;
