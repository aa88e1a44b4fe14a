/** An example of a program that embeds the coordination library, as its README quotes it. */
package org.hornbeampass.example;
