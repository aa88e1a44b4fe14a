/** Deterministic fakes for tests: virtual time, VMs, a faulty platform and a peer network. */
package org.hornbeampass.testing;
