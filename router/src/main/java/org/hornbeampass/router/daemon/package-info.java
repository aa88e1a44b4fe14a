/** The router daemon: its settings, its parts and how they are wired, started and stopped. */
package org.hornbeampass.router.daemon;
