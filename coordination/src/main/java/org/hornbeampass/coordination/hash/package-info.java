/** Hash functions with the same results on every VM. */
package org.hornbeampass.coordination.hash;
