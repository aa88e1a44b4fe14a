/** Calls to the operators' API, with other servers tried and safe calls repeated. */
package org.hornbeampass.cli.client;
