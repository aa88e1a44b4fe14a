/** The protocol between routers: frames, message types, their codec and the handshake. */
package org.hornbeampass.protocol.peer;
