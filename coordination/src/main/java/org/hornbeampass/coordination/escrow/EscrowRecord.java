package org.hornbeampass.coordination.escrow;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The stored form of one shard of the budgets: the holders of grants of each organisation.
 *
 * <p>Invariant: the sum of all grants of an organisation, also of former holders, is never raised
 * above its prepaid budget, and a holder's grant is lowered only by that holder. Immutable by
 * convention: changes are made to a copy. Thread-safe unless it is modified.
 *
 * @param organisations grants by organisation name
 * @param era the era of the store in which the record was written; 0 if the store states none
 * @param completeEra the last era in which the record is known to have all organisations that were
 *     ever granted tokens
 */
public record EscrowRecord(
        @JsonProperty("organisations") TreeMap<String, Organisation> organisations,
        @JsonProperty("era") @JsonInclude(JsonInclude.Include.NON_DEFAULT) long era,
        @JsonProperty("complete_era") @JsonInclude(JsonInclude.Include.NON_DEFAULT)
                long completeEra) {
    /** Creates a record that may lack organisations. */
    EscrowRecord(TreeMap<String, Organisation> organisations, long era) {
        this(organisations, era, 0);
    }

    /**
     * The grants of one organisation.
     *
     * @param closed the tokens granted to holders that no longer exist; they count as spent
     *     permanently
     * @param closedSpent how many of the closed tokens were reported as spent
     * @param holders the current holders by incarnation
     * @param ended the last holders that no longer exist, in the order in which they were closed,
     *     if the store may be restored from an older copy; they are not part of {@code closed}
     * @param ceiling the total up to which tokens may be granted once all copies of the store state
     *     it; 0 if there is none
     * @param ceilingInForce the total up to which tokens may be granted now
     */
    public record Organisation(
            @JsonProperty("closed") long closed,
            @JsonProperty("closed_spent") long closedSpent,
            @JsonProperty("holders") TreeMap<String, Holder> holders,
            @JsonProperty("ended") @JsonInclude(JsonInclude.Include.NON_EMPTY) List<Ended> ended,
            @JsonProperty("ceiling") @JsonInclude(JsonInclude.Include.NON_DEFAULT) long ceiling,
            @JsonProperty("ceiling_in_force") @JsonInclude(JsonInclude.Include.NON_DEFAULT)
                    long ceilingInForce) {
        /** Copies the ended holders; a record without them has none. */
        public Organisation {
            ended = ended == null ? List.of() : List.copyOf(ended);
        }

        /** Creates the grants of an organisation without a ceiling. */
        Organisation(
                long closed, long closedSpent, TreeMap<String, Holder> holders, List<Ended> ended) {
            this(closed, closedSpent, holders, ended, 0, 0);
        }

        /** Returns a copy with other ceilings. */
        Organisation withCeilings(long newCeiling, long newCeilingInForce) {
            return new Organisation(
                    closed, closedSpent, holders, ended, newCeiling, newCeilingInForce);
        }

        /** Returns the tokens that were granted to current and former holders. */
        public long granted() {
            return closedTokens() + holders.values().stream().mapToLong(Holder::granted).sum();
        }

        /** Returns the tokens that were reported as spent. */
        public long spent() {
            return closedSpentTokens() + holders.values().stream().mapToLong(Holder::spent).sum();
        }

        /** Returns the tokens that were granted to holders that no longer exist. */
        long closedTokens() {
            return closed + ended.stream().mapToLong(Ended::granted).sum();
        }

        /** Returns how many of the closed tokens were reported as spent. */
        long closedSpentTokens() {
            return closedSpent + ended.stream().mapToLong(Ended::spent).sum();
        }

        private Organisation mergedWith(Organisation other) {
            Map<String, Ended> mergedEnded = new LinkedHashMap<>();
            ended.forEach(e -> mergedEnded.put(e.incarnation(), e));
            other.ended.forEach(e -> mergedEnded.merge(e.incarnation(), e, Ended::mergedWith));
            TreeMap<String, Holder> merged = new TreeMap<>(holders);
            other.holders().forEach((id, h) -> merged.merge(id, h, Holder::mergedWith));
            mergedEnded.replaceAll(
                    (id, e) -> {
                        Holder holder = merged.remove(id);
                        return holder == null ? e : e.mergedWith(Ended.of(id, holder));
                    });
            return new Organisation(
                    Math.max(closed, other.closed()),
                    Math.max(closedSpent, other.closedSpent()),
                    merged,
                    List.copyOf(mergedEnded.values()),
                    Math.max(ceiling, other.ceiling()),
                    Math.max(ceilingInForce, other.ceilingInForce()));
        }
    }

    /**
     * The grant of an incarnation of a VM that no longer exists, or the tokens that may have been
     * granted before the store was restored and that no VM knows of.
     *
     * @param incarnation the incarnation, or a name for the era that the restoration began
     * @param granted the tokens granted to it
     * @param spent the tokens that it has reported as spent
     */
    public record Ended(
            @JsonProperty("incarnation") String incarnation,
            @JsonProperty("granted") long granted,
            @JsonProperty("spent") long spent) {
        static Ended of(String incarnation, Holder holder) {
            return new Ended(incarnation, holder.granted(), holder.spent());
        }

        /** Returns the tokens that may have been granted, unknown to all, before an era. */
        static Ended unknownBefore(long era, long tokens) {
            return new Ended("before-era-" + era, tokens, 0);
        }

        private Ended mergedWith(Ended other) {
            return new Ended(
                    incarnation,
                    Math.max(granted, other.granted()),
                    Math.max(spent, other.spent()));
        }
    }

    /**
     * The grant of one incarnation of a VM.
     *
     * @param vm the VM's name
     * @param granted all tokens ever granted to it, less those returned
     * @param spent the tokens that it has reported as spent
     */
    public record Holder(
            @JsonProperty("vm") String vm,
            @JsonProperty("granted") long granted,
            @JsonProperty("spent") long spent) {
        private Holder mergedWith(Holder other) {
            return new Holder(
                    vm, Math.max(granted, other.granted()), Math.max(spent, other.spent()));
        }
    }

    /** Returns a record without organisations. */
    public static EscrowRecord empty() {
        return new EscrowRecord(new TreeMap<>(), 0);
    }

    /** Returns an organisation's grants. */
    public Organisation organisation(String name) {
        return organisations.getOrDefault(name, new Organisation(0, 0, new TreeMap<>(), List.of()));
    }

    /** Returns a copy that shares nothing with this record. */
    EscrowRecord copy() {
        TreeMap<String, Organisation> copies = new TreeMap<>();
        organisations.forEach(
                (name, o) ->
                        copies.put(
                                name,
                                new Organisation(
                                        o.closed(),
                                        o.closedSpent(),
                                        new TreeMap<>(o.holders()),
                                        o.ended(),
                                        o.ceiling(),
                                        o.ceilingInForce())));
        return new EscrowRecord(copies, era, completeEra);
    }

    /** Returns a copy that is marked as written in an era of the store. */
    EscrowRecord writtenIn(long writtenEra, boolean complete) {
        return new EscrowRecord(
                copy().organisations(), writtenEra, complete ? writtenEra : completeEra);
    }

    /**
     * Returns the largest grants and spending of this record and another one, each of which may
     * lack writes of the other; no token that either shows as granted is free in the result.
     */
    EscrowRecord mergedWith(EscrowRecord other) {
        EscrowRecord merged = copy();
        other.organisations()
                .forEach(
                        (name, o) ->
                                merged.organisations().merge(name, o, Organisation::mergedWith));
        return new EscrowRecord(
                merged.organisations(),
                Math.max(era, other.era()),
                Math.max(completeEra, other.completeEra()));
    }
}
