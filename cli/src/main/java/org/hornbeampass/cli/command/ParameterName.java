package org.hornbeampass.cli.command;

import java.util.Locale;

/**
 * The names of parameters, as the command line's {@code --unset} takes them.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum ParameterName {
    MODELS,
    ADAPTERS,
    SERVICES,
    WORK_KINDS,
    PRIORITY,
    MAX_COMPLETION_TOKENS,
    MAX_CONCURRENT,
    REQUESTS_PER_SECOND,
    BUDGET_PREFERENCE;

    /** Returns the name as an option has it, such as {@code max-concurrent}. */
    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Parses the form that {@link #toString()} gives. */
    public static ParameterName parse(String text) {
        for (ParameterName name : values()) {
            if (name.toString().equals(text)) {
                return name;
            }
        }
        throw new picocli.CommandLine.TypeConversionException(
                "\""
                        + text
                        + "\" is not a parameter; known are: "
                        + java.util.Arrays.asList(values()));
    }
}
