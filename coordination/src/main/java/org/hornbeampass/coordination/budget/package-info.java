/** Prepaid budgets held in escrow: grants from the platform, reservations, moves, top-ups. */
package org.hornbeampass.coordination.budget;
