/** A platform stand-in: object API, list of VMs and weight store, with faults; sans-IO and HTTP. */
package org.hornbeampass.standin.platform;
