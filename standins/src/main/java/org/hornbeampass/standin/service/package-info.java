/** A plain service stand-in whose writes may not be repeated. */
package org.hornbeampass.standin.service;
