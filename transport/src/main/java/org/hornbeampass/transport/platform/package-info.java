/** A client for the platform's object API over HTTP. */
package org.hornbeampass.transport.platform;
