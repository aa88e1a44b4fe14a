package org.hornbeampass.coordination.address;

/**
 * How address answers are cut and how long they are kept.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param keepMs how long a caller may keep an answer, in milliseconds
 * @param unsettledKeepMs the same while some VM is suspected to be gone
 * @param maxAddresses the largest number of addresses in one answer
 * @param minHomesPerRegion the smallest number of homes of an organisation in one region
 * @param requestsPerVm how many requests a second one VM should carry for an organisation before
 *     the organisation gets a further home
 */
public record AddressSettings(
        long keepMs,
        long unsettledKeepMs,
        int maxAddresses,
        int minHomesPerRegion,
        double requestsPerVm) {
    /** Returns the settings for a fleet of 8 to 390 VMs. */
    public static AddressSettings defaults() {
        return new AddressSettings(10_000, 3_000, 8, 3, 20);
    }
}
