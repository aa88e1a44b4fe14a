/** The chat completion shape that OpenAI clients speak, as typed values. */
package org.hornbeampass.protocol.openai;
