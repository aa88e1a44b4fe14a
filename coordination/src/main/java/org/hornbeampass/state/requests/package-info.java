/** Immutable values for the billing and claiming of requests. */
package org.hornbeampass.state.requests;
