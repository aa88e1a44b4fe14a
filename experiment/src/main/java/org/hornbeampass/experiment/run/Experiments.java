package org.hornbeampass.experiment.run;

import java.io.PrintWriter;

/**
 * Runs experiments.
 *
 * <p>Stateless; safe for use by any thread.
 */
public final class Experiments {
    private Experiments() {}

    /** Runs an experiment; tells of its progress meanwhile. */
    public static Outcome run(Experiment experiment, PrintWriter out) {
        return new ExperimentRun(experiment, new Progress(out)).run();
    }
}
