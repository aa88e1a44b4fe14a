/** Service-level objectives: what counts against them, in time buckets, and burn rates. */
package org.hornbeampass.coordination.slo;
