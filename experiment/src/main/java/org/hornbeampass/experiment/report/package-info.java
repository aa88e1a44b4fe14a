/** Results of experiments as a file, a comparison, plots and a page. */
package org.hornbeampass.experiment.report;
