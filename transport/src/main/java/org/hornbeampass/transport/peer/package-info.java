/** Sends and receives typed messages between routers over TCP. */
package org.hornbeampass.transport.peer;
