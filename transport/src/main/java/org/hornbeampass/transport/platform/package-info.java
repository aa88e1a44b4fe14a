/** The platform's object API over HTTP. */
package org.hornbeampass.transport.platform;
