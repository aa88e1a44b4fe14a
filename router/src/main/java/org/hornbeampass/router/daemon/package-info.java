/** The router daemon: its settings, and how its components are created, connected and stopped. */
package org.hornbeampass.router.daemon;
