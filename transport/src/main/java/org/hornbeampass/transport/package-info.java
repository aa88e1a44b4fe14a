/** Sockets, threads and the clock: what carries the protocol layer. */
package org.hornbeampass.transport;
