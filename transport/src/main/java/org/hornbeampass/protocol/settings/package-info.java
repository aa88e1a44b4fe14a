/** Reads settings written as JSON with comments, and reports all of their faults at once. */
package org.hornbeampass.protocol.settings;
