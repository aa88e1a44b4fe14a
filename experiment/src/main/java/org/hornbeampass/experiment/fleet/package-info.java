/** A whole fleet in one JVM on loopback: stand-ins, routers and the operators' command line. */
package org.hornbeampass.experiment.fleet;
