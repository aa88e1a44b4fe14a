/** Manages prepaid budgets as grants in shared store records, so that VMs cannot overspend. */
package org.hornbeampass.coordination.escrow;
