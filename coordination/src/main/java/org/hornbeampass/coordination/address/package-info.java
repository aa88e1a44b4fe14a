/**
 * Selection of the router addresses for a caller, and of the routers that are homes of an
 * organisation.
 */
package org.hornbeampass.coordination.address;
