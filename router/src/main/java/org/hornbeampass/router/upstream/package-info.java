/** Attempts at upstreams over HTTP, and the news that upstreams give of themselves. */
package org.hornbeampass.router.upstream;
