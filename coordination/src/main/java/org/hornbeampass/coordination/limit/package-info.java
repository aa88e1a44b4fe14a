/** Limits on requests: deadlines, admission, concurrency, rates, retries and resumed streams. */
package org.hornbeampass.coordination.limit;
