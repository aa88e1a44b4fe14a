package org.hornbeampass.coordination.stream;

import java.util.List;

/**
 * Receives changes of the records of streams in the store, and failed calls about them.
 *
 * <p>Called on the thread to which {@link StreamHistory} is confined.
 */
public interface StreamRecordListener {
    /** Called when this VM has written which versions of a service may have streams. */
    void onVersionsRecorded(long nowMs, String service, List<String> versions);

    /** Called when a record could not be read or written. */
    void onRecordFailed(long nowMs, String key, String reason);
}
