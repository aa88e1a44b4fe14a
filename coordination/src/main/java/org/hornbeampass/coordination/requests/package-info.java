/** Durable bills, claims and outcomes of requests, each decided once in a sharded log. */
package org.hornbeampass.coordination.requests;
