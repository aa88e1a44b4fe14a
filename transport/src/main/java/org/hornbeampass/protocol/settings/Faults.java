package org.hornbeampass.protocol.settings;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Collects all faults of one settings text.
 *
 * <p>Not thread-safe: used while one text is read, and not changed afterwards.
 */
public final class Faults {
    private final String mSource;
    private final List<Fault> mFaults = new ArrayList<>();
    private final Map<String, String> mPathsByValue = new HashMap<>();

    Faults(String source) {
        mSource = source;
    }

    void add(Fault fault) {
        mFaults.add(fault);
    }

    /** Claims a value that may stand only once, and returns the path that has it already. */
    Optional<String> registerUnique(String value, String path) {
        return Optional.ofNullable(mPathsByValue.putIfAbsent(value, path));
    }

    /** Returns whether there is none. */
    public boolean isEmpty() {
        return mFaults.isEmpty();
    }

    /** Returns the faults in the order of the text. */
    public List<Fault> all() {
        return mFaults.stream()
                .sorted(Comparator.comparingInt(Fault::line).thenComparingInt(Fault::column))
                .toList();
    }

    /** Returns the faults as lines, for a person. */
    public List<String> lines() {
        return all().stream().map(f -> f.describe(mSource)).toList();
    }

    @Override
    public String toString() {
        return String.join("\n", lines());
    }
}
