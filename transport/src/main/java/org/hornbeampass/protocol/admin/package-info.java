/** The typed JSON shapes of the operators' API, shared by the router and the command line. */
package org.hornbeampass.protocol.admin;
