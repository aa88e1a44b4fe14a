/** The platform's object API on HTTP: paths, statuses and bodies. */
package org.hornbeampass.protocol.platform;
