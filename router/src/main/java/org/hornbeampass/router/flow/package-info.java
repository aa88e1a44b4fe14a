/**
 * State machines of single requests, and the ports through which they act on the rest of the
 * router.
 */
package org.hornbeampass.router.flow;
