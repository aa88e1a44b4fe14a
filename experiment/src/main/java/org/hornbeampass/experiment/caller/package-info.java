/** Callers as the routers meet them: address look-up, streamed requests, retries, receipts. */
package org.hornbeampass.experiment.caller;
