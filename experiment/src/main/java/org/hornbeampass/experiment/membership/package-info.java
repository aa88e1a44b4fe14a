/** Measures membership and configuration at fleet sizes in virtual time, by a seed. */
package org.hornbeampass.experiment.membership;
