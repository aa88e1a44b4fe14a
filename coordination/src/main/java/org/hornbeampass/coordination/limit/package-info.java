/** Limits on work: deadlines, admission, concurrency, rates, retries and resumes. */
package org.hornbeampass.coordination.limit;
