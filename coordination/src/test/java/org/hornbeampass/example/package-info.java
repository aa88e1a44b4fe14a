/** An example of a program that embeds the coordination library, quoted in its README. */
package org.hornbeampass.example;
