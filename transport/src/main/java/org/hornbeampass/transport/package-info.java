/** Sockets, event loop threads and the clock, on which the protocol layer runs. */
package org.hornbeampass.transport;
