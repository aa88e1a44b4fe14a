/** Append-only log on the platform, written by conditional creates. */
package org.hornbeampass.coordination.log;
