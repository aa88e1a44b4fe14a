/** The HTTP interface for callers: paths, API keys, checks of requests, and answers. */
package org.hornbeampass.router.front;
