/** TLS contexts that are created from PEM files. */
package org.hornbeampass.transport.tls;
