/** Benchmarks of the library's hot decisions. */
package org.hornbeampass.experiment.jmh;
