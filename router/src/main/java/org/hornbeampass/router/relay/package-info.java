/** Passes requests on to services: admission, choice of upstream, retries, streams, settlement. */
package org.hornbeampass.router.relay;
