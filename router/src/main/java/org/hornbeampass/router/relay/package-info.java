/** Relays requests to services: admission, choice of upstream, retries, streams and settling. */
package org.hornbeampass.router.relay;
