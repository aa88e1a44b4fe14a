/** Shares which software version began each stream, so that any VM can resume it there. */
package org.hornbeampass.coordination.stream;
