/** What one VM knows of each upstream: its life, load, cache and health. */
package org.hornbeampass.coordination.upstream;
