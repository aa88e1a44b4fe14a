/** Orders between routers to drain. */
package org.hornbeampass.coordination.drain;
