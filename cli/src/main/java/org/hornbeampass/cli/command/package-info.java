/** The commands, one class for each. */
package org.hornbeampass.cli.command;
