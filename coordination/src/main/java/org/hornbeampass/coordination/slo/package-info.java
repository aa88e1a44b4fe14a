/** Service-level objectives: counts of good and bad requests by time bucket, and burn rates. */
package org.hornbeampass.coordination.slo;
