/** Bills, claims and outcomes of requests, decided once in the shards of a log. */
package org.hornbeampass.coordination.requests;
