/** What the command line prints: tables, JSON and diagnostics. */
package org.hornbeampass.cli.output;
