package org.hornbeampass.coordination.config;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.state.VmId;

import java.util.List;

/**
 * Returns the revisions that were reported to the sender.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param reports the newest report of each VM
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record RevisionsReply(List<Reported> reports) implements PeerMessage {
    /** Copies the list. */
    public RevisionsReply {
        reports = List.copyOf(reports);
    }

    /**
     * One VM's report.
     *
     * @param vm the VM
     * @param revision the revision that it had applied
     * @param ageMs the age of the report, in milliseconds
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    public record Reported(VmId vm, long revision, long ageMs) {}
}
