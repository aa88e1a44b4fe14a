/** Hashing that every VM computes alike. */
package org.hornbeampass.coordination.hash;
