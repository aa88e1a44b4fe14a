/** Runs requests: connects their flows to ledgers, queues, upstreams and metrics. */
package org.hornbeampass.router.serve;
