/** Attempts at upstreams over HTTP, and the polling of engines for their load. */
package org.hornbeampass.router.upstream;
