/** Messages by which one router orders another to drain. */
package org.hornbeampass.coordination.drain;
