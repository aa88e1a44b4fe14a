/** What each VM can carry, how much of it is used, and what follows for callers. */
package org.hornbeampass.coordination.capacity;
