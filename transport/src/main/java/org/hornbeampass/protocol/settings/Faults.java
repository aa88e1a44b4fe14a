package org.hornbeampass.protocol.settings;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Collects all faults found in one settings text.
 *
 * <p>Not thread-safe: filled by the one thread that reads the text, and not changed afterwards.
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

    /**
     * Registers a value that only one field may have; returns the path of the field that has it
     * already, or empty if it is new.
     */
    Optional<String> registerUnique(String value, String path) {
        return Optional.ofNullable(mPathsByValue.putIfAbsent(value, path));
    }

    /** Returns whether no fault was found. */
    public boolean isEmpty() {
        return mFaults.isEmpty();
    }

    /** Returns the faults, ordered by their position in the text. */
    public List<Fault> all() {
        return mFaults.stream()
                .sorted(Comparator.comparingInt(Fault::line).thenComparingInt(Fault::column))
                .toList();
    }

    /** Returns the faults as one line each for people, ordered by their position in the text. */
    public List<String> lines() {
        return all().stream().map(f -> f.describe(mSource)).toList();
    }

    @Override
    public String toString() {
        return String.join("\n", lines());
    }
}
