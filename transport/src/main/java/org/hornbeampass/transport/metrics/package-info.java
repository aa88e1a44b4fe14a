/** Rendering of metrics in the Prometheus text format. */
package org.hornbeampass.transport.metrics;
