package org.hornbeampass.experiment.run;

import org.hornbeampass.experiment.fleet.Fleet;
import org.hornbeampass.experiment.verdict.Observation;
import org.hornbeampass.standin.engine.RunLedger;
import org.hornbeampass.standin.service.RecordTable;

import java.util.ArrayList;
import java.util.List;

/**
 * Reads what the upstreams ran, from the upstreams themselves.
 *
 * <p>Stateless; safe for use by any thread.
 */
final class UpstreamReader {
    private UpstreamReader() {}

    static Observation.Upstreams read(Fleet fleet, List<Observation.Leaving> leavings) {
        return new Observation.Upstreams(runs(fleet), records(fleet), leavings);
    }

    private static List<Observation.Run> runs(Fleet fleet) {
        List<Observation.Run> runs = new ArrayList<>();
        for (int i = 0; i < fleet.engines().size(); i++) {
            String name = "engine-" + i;
            RunLedger.Report report = fleet.engines().get(i).runs("").join();
            if (report.forgotten() > 0) {
                throw new IllegalStateException(name + " has forgotten runs; use a shorter run");
            }
            for (RunLedger.Run run : report.runs()) {
                runs.add(new Observation.Run(name, run.requestId(), run.attemptId()));
            }
        }
        return runs;
    }

    private static List<Observation.Run> records(Fleet fleet) {
        List<Observation.Run> records = new ArrayList<>();
        for (int i = 0; i < fleet.services().size(); i++) {
            String name = fleet.spec().service() + "-" + i;
            for (RecordTable.Entry entry :
                    fleet.services().get(i).records().after(0, Integer.MAX_VALUE)) {
                records.add(new Observation.Run(name, entry.requestId(), entry.attemptId()));
            }
        }
        return records;
    }
}
