/** The platform's object API over HTTP: paths, statuses and bodies. */
package org.hornbeampass.protocol.platform;
