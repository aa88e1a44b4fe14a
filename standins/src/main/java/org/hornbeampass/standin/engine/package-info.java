/** A model engine stand-in: a timing model without sockets, and an HTTP server in front of it. */
package org.hornbeampass.standin.engine;
