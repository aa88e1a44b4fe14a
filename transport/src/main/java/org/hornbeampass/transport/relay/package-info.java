/** Connections of callers and to upstreams over which answers are passed on as they come. */
package org.hornbeampass.transport.relay;
