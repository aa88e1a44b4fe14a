package org.hornbeampass.coordination.address;

/**
 * Limits of address answers and of the number of homes.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param keepMs how long a caller may keep an answer, in milliseconds
 * @param unsettledKeepMs the same while a VM is suspected to be gone
 * @param maxAddresses the largest number of addresses in one answer
 * @param minHomesPerRegion the smallest number of homes of an organisation in one region
 * @param requestsPerVm how many requests per second one VM should serve for an organisation before
 *     the organisation gets another home
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
