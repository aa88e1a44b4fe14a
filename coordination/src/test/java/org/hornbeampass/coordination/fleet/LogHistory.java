package org.hornbeampass.coordination.fleet;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

import org.hornbeampass.coordination.log.LogBatch;
import org.hornbeampass.coordination.platform.MemoryPlatform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.state.Json;
import org.hornbeampass.state.config.ConfigChange;
import org.hornbeampass.state.config.ConfigSnapshot;
import org.hornbeampass.state.config.Parameters;
import org.hornbeampass.state.config.Template;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * All changes that the platform's log has ever held, truncated ones included; read after each step.
 *
 * <p>Not thread-safe: tests run on one thread.
 */
final class LogHistory {
    private final MemoryPlatform mStore;
    private final Map<Long, ConfigChange> mChanges = new TreeMap<>();

    /** Part of a stored entry that the checks need. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    record StoredChange(ConfigChange change) {}

    LogHistory(MemoryPlatform store) {
        mStore = store;
    }

    /**
     * Returns a change that differs from those of all other numbers; it applies to one of four
     * templates in turn.
     */
    static ConfigChange numberedChange(int number) {
        Parameters none = Parameters.none();
        Parameters numbered =
                new Parameters(
                        none.models(),
                        none.adapters(),
                        none.services(),
                        none.workKinds(),
                        none.priority(),
                        none.maxCompletionTokens(),
                        Optional.of(1_000 + number),
                        none.requestsPerSecond(),
                        none.budgetPreference());
        return new ConfigChange.PutTemplate(new Template("t" + number % 4, numbered));
    }

    void read() {
        mStore.submit(
                0,
                new PlatformCall.ListObjects("config/log/", "", 10_000),
                (t, reply) ->
                        ((PlatformReply.Listed) reply)
                                .objects().stream()
                                        .filter(o -> !o.key().endsWith("~floor"))
                                        .map(o -> Json.decode(o.value(), LogBatch.class).get())
                                        .forEach(this::record));
    }

    private void record(LogBatch batch) {
        String text = batch.entries().get(0);
        mChanges.put(batch.sequence(), Json.decode(text, StoredChange.class).get().change());
    }

    long newest() {
        return mChanges.size();
    }

    Optional<ConfigChange> change(long revision) {
        return Optional.ofNullable(mChanges.get(revision));
    }

    int countOf(ConfigChange change) {
        return (int) mChanges.values().stream().filter(change::equals).count();
    }

    /** Returns the configuration after all changes up to a revision; empty if some are missing. */
    Optional<ConfigSnapshot> at(long revision) {
        ConfigSnapshot snapshot = ConfigSnapshot.empty();
        for (long next = 1; next <= revision; next++) {
            if (!mChanges.containsKey(next)) {
                return Optional.empty();
            }
            snapshot = snapshot.with(mChanges.get(next));
        }
        return Optional.of(snapshot);
    }
}
