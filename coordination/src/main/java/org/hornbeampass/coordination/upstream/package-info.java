/** One VM's state of each upstream: its incarnation, load, cache and health. */
package org.hornbeampass.coordination.upstream;
