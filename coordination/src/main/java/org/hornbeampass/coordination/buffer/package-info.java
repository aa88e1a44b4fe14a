/** The bound on the memory that a VM holds for connections whose other side reads slowly. */
package org.hornbeampass.coordination.buffer;
