/** What callers meet: paths, keys, checks of their requests, and the answers. */
package org.hornbeampass.router.front;
