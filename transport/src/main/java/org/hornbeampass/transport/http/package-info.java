/** HTTP/1.1 servers and clients on Netty's codec, and the interfaces that hide it. */
package org.hornbeampass.transport.http;
