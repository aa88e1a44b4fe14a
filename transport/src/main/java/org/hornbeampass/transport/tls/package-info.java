/** TLS contexts made from PEM files. */
package org.hornbeampass.transport.tls;
