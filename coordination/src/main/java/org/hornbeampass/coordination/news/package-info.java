/** Passes configuration and upstream news on to VMs that the platform turns away. */
package org.hornbeampass.coordination.news;
