/** The operators' command line, {@code hornbeamctl}. */
package org.hornbeampass.cli;
