/** The platform's object API as the coordination library sees it, and the parts built on it. */
package org.hornbeampass.coordination.platform;
