/** Which routers' addresses a caller is told, and on which routers an organisation is at home. */
package org.hornbeampass.coordination.address;
