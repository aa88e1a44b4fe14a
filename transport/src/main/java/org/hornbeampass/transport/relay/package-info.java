/** Connections from callers and to upstreams, which forward answers while they arrive. */
package org.hornbeampass.transport.relay;
