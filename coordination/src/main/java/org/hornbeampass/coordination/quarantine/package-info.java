/** Finds requests that crash the upstreams that run them, and keeps them from running again. */
package org.hornbeampass.coordination.quarantine;
