package org.hornbeampass.coordination.escrow;

import com.fasterxml.jackson.annotation.JsonProperty;

import java.util.TreeMap;

/**
 * The stored form of one shard of the budgets: the holders of grants of each organisation.
 *
 * <p>Invariant: the sum of {@code closed} and all grants of an organisation is never raised above
 * its prepaid budget, and a holder's grant is lowered only by that holder. Immutable by convention:
 * changes are made to a copy. Thread-safe unless it is modified.
 *
 * @param organisations grants by organisation name
 */
public record EscrowRecord(
        @JsonProperty("organisations") TreeMap<String, Organisation> organisations) {
    /**
     * The grants of one organisation.
     *
     * @param closed the tokens granted to holders that no longer exist; they count as spent
     *     permanently
     * @param closedSpent how many of the closed tokens were reported as spent
     * @param holders the current holders by incarnation
     */
    public record Organisation(
            @JsonProperty("closed") long closed,
            @JsonProperty("closed_spent") long closedSpent,
            @JsonProperty("holders") TreeMap<String, Holder> holders) {
        /** Returns the tokens that were granted to current and former holders. */
        public long granted() {
            return closed + holders.values().stream().mapToLong(Holder::granted).sum();
        }

        /** Returns the tokens that were reported as spent. */
        public long spent() {
            return closedSpent + holders.values().stream().mapToLong(Holder::spent).sum();
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
            @JsonProperty("spent") long spent) {}

    /** Returns a record without organisations. */
    public static EscrowRecord empty() {
        return new EscrowRecord(new TreeMap<>());
    }

    /** Returns an organisation's grants. */
    public Organisation organisation(String name) {
        return organisations.getOrDefault(name, new Organisation(0, 0, new TreeMap<>()));
    }

    /** Returns a copy that shares nothing with this record. */
    EscrowRecord copy() {
        TreeMap<String, Organisation> copies = new TreeMap<>();
        organisations.forEach(
                (name, o) ->
                        copies.put(
                                name,
                                new Organisation(
                                        o.closed(), o.closedSpent(), new TreeMap<>(o.holders()))));
        return new EscrowRecord(copies);
    }
}
