/** Reads settings in JSON with comments and reports all faults at once. */
package org.hornbeampass.protocol.settings;
