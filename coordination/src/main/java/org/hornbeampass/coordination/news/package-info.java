/** Exchange of configuration and upstream changes with VMs that the platform does not serve. */
package org.hornbeampass.coordination.news;
