/** The log of configuration changes on the platform, and its distribution to every router. */
package org.hornbeampass.coordination.config;
