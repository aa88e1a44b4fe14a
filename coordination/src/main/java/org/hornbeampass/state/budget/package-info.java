/** Immutable values of prepaid budgets: reservations, the platform's records and statements. */
package org.hornbeampass.state.budget;
