package org.hornbeampass.protocol.settings;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Finds the known name that is closest to a misspelt one.
 *
 * <p>Stateless; safe for use by any thread.
 */
final class Spelling {
    private static final int MAX_EDITS = 2;

    private Spelling() {}

    /**
     * Returns the known name with the fewest edits; empty if none is within {@code MAX_EDITS} edits
     * and within half of its own length.
     */
    static Optional<String> closest(String name, Collection<String> known) {
        return known.stream()
                .filter(k -> editDistance(name, k) <= Math.min(MAX_EDITS, k.length() / 2))
                .min(Comparator.comparingInt(k -> editDistance(name, k)));
    }

    /** Returns the Levenshtein distance of two names. */
    private static int editDistance(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int replaced = diagonal + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                diagonal = row[j];
                row[j] = Math.min(replaced, Math.min(row[j], row[j - 1]) + 1);
            }
        }
        return row[b.length()];
    }
}
