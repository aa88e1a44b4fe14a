/** Experiments: their file, faults on a timeline, the run, what is watched meanwhile. */
package org.hornbeampass.experiment.run;
