/**
 * Prepaid budgets held in escrow: grants from the platform, reservations, moves between VMs and
 * top-ups.
 */
package org.hornbeampass.coordination.budget;
