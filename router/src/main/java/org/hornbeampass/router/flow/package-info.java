/** The state machine of one request, and the narrow ports through which it acts. */
package org.hornbeampass.router.flow;
