/** The verdict on an experiment, from what was seen outside the routers; one class per rule. */
package org.hornbeampass.experiment.verdict;
