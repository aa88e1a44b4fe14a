/** The command that runs a stand-in as a process. */
package org.hornbeampass.standin;
