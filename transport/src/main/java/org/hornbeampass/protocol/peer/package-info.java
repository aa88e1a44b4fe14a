/** What routers say to each other: frames, message types, their codec and the handshake. */
package org.hornbeampass.protocol.peer;
