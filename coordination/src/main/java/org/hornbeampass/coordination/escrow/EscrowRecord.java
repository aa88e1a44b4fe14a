package org.hornbeampass.coordination.escrow;

import com.fasterxml.jackson.annotation.JsonProperty;

import java.util.TreeMap;

/**
 * What one shard of the budgets looks like in the store: for each organisation, who holds grants.
 *
 * <p>Invariant: the sum of {@code closed} and all grants of an organisation is never raised above
 * its prepaid level; a holder's grant is lowered by that holder alone. Immutable by convention: a
 * change is made on a copy. Safe for use by any thread while nobody changes it.
 *
 * @param organisations by name
 */
public record EscrowRecord(
        @JsonProperty("organisations") TreeMap<String, Organisation> organisations) {
    /**
     * The grants of one organisation.
     *
     * @param closed tokens of holders that are gone; they count as spent for ever
     * @param closedSpent how many of these were reported spent
     * @param holders by incarnation
     */
    public record Organisation(
            @JsonProperty("closed") long closed,
            @JsonProperty("closed_spent") long closedSpent,
            @JsonProperty("holders") TreeMap<String, Holder> holders) {
        /** Returns the tokens that are spoken for. */
        public long granted() {
            return closed + holders.values().stream().mapToLong(Holder::granted).sum();
        }

        /** Returns the tokens that were reported spent: what is certain to be gone. */
        public long spent() {
            return closedSpent + holders.values().stream().mapToLong(Holder::spent).sum();
        }
    }

    /**
     * The grant of one incarnation of a VM.
     *
     * @param vm the VM's name
     * @param granted all tokens that it was ever granted, less what it returned
     * @param spent how many of these it has reported spent
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
