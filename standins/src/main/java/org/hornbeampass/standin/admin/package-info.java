/** What the stand-ins share: faults, views that lag, and settings. */
package org.hornbeampass.standin.admin;
