/** Open-loop load: seeded arrivals, callers that look addresses up, corrected latencies. */
package org.hornbeampass.experiment.load;
