/** Keeps prepaid budgets as grants in shared records, so that no VM can overspend. */
package org.hornbeampass.coordination.escrow;
