/** Metrics as text for scrapers. */
package org.hornbeampass.transport.metrics;
