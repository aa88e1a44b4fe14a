/** The platform's object API as used by the coordination library, and components built on it. */
package org.hornbeampass.coordination.platform;
