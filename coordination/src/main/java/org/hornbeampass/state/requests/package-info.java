/** Requests as they are billed and claimed: immutable values. */
package org.hornbeampass.state.requests;
