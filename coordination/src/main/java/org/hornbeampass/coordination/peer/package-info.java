/** Messages between routers as the coordination library sees them. */
package org.hornbeampass.coordination.peer;
