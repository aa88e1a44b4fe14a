package org.hornbeampass.coordination.platform;

import org.hornbeampass.coordination.platform.PlatformReply.Change;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What a view reads and shows of the changes that it has missed.
 *
 * <p>Stateless; safe for use by any thread.
 */
public enum CatchUpMode {
    /** Each one, in order: for small objects, of which each change may tell something. */
    ALL_VERSIONS {
        @Override
        boolean listsAfterFailure() {
            return false;
        }

        @Override
        List<Change> shown(List<Change> changes) {
            return changes;
        }
    },

    /**
     * Only how things stand: for large objects, each version of which replaces the one before.
     *
     * <p>A watch is answered with every version since the last one seen. After eight seconds
     * without the store, sixteen versions of 60 KB and three of 500 KB came to VMs with links of 7
     * Mbit/s (875 bytes in a millisecond) that needed one of them: 2.8 s of such a link by their
     * sizes, in place of 0.6.
     */
    NEWEST_VERSION {
        @Override
        boolean listsAfterFailure() {
            return true;
        }

        @Override
        List<Change> shown(List<Change> changes) {
            Map<String, Long> newest = new HashMap<>();
            changes.forEach(c -> newest.merge(c.key(), c.version(), Math::max));
            return changes.stream().filter(c -> newest.get(c.key()) == c.version()).toList();
        }
    };

    /**
     * Returns whether a listing follows a failed watch, rather than another watch that would be
     * answered with all that happened meanwhile.
     */
    abstract boolean listsAfterFailure();

    /** Returns those of an answer's changes that are shown. */
    abstract List<Change> shown(List<Change> changes);
}
