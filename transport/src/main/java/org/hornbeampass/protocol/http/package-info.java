/** HTTP shapes that all listeners share. */
package org.hornbeampass.protocol.http;
