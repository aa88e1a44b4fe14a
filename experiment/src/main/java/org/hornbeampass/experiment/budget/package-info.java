/** A seeded comparison of grant policies in virtual time, run by a command. */
package org.hornbeampass.experiment.budget;
