/** Message formats and settings, independent of the transport that carries them. */
package org.hornbeampass.protocol;
