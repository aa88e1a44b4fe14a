package org.hornbeampass.coordination.quarantine;

import org.hornbeampass.coordination.service.UpstreamIncarnation;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The record in the platform's store of what is suspected but not quarantined yet.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param suspects the suspects
 */
record KnownCrashes(List<Entry> suspects) {
    /** A record without suspects. */
    static final KnownCrashes NONE = new KnownCrashes(List.of());

    /** Copies the list. */
    KnownCrashes {
        suspects = List.copyOf(suspects);
    }

    /**
     * One suspect.
     *
     * @param digest its digest as text
     * @param crashes the crashes that it may have caused
     * @param untilMs when they no longer count, in milliseconds since 1970
     */
    record Entry(String digest, List<UpstreamIncarnation> crashes, long untilMs) {
        /** Copies the list. */
        Entry {
            crashes = List.copyOf(crashes);
        }

        static Entry of(Suspect suspect) {
            return new Entry(
                    suspect.digest().toString(),
                    List.copyOf(suspect.unclearedCrashes()),
                    suspect.retainedUntilMs());
        }
    }

    /** Returns the state of the suspects whose crashes still count, as another VM reports it. */
    List<SuspectReport.Item> items(long nowMs) {
        return suspects.stream()
                .filter(e -> e.untilMs() > nowMs)
                .flatMap(e -> SuspectDigest.parse(e.digest()).map(d -> item(d, e)).stream())
                .toList();
    }

    private static SuspectReport.Item item(SuspectDigest digest, Entry entry) {
        return new SuspectReport.Item(digest, entry.crashes(), List.of(), 0, false, 0);
    }

    /** Returns whether this record has all crashes of another one. */
    boolean hasAllOf(KnownCrashes other) {
        Map<String, Set<UpstreamIncarnation>> own =
                suspects.stream()
                        .collect(
                                Collectors.toMap(
                                        Entry::digest,
                                        e -> new HashSet<>(e.crashes()),
                                        (a, b) -> a));
        Function<String, Set<UpstreamIncarnation>> known =
                d -> Optional.ofNullable(own.get(d)).orElse(Set.of());
        return other.suspects.stream()
                .allMatch(e -> known.apply(e.digest()).containsAll(e.crashes()));
    }
}
