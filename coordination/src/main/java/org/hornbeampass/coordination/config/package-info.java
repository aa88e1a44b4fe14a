/** The configuration's one order of changes on the platform, and its spread to every router. */
package org.hornbeampass.coordination.config;
