/** Immutable values of prepaid budgets: reservations, the platform's record and statements. */
package org.hornbeampass.state.budget;
