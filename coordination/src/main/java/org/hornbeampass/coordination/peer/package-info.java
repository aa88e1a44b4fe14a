/** Messages between routers, and the interfaces by which they are sent and handled. */
package org.hornbeampass.coordination.peer;
