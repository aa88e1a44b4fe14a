/** Orders to upstreams: what each should hold, written first, sent after, checked again. */
package org.hornbeampass.coordination.orders;
