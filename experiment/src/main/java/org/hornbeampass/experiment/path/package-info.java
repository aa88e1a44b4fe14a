/** Load on the whole path, and what the router adds to the upstream's own latency. */
package org.hornbeampass.experiment.path;
