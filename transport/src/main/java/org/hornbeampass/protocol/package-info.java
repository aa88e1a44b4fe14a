/** Wire shapes and settings: what is said, apart from how it is carried. */
package org.hornbeampass.protocol;
