package org.hornbeampass.protocol.settings;

import io.vavr.control.Either;

import java.util.Optional;
import java.util.function.Function;

/**
 * Reads a settings text into a typed record, or reports all of its faults.
 *
 * <p>Invariant: a value is returned only if the text has no fault. Stateless; safe for use by any
 * thread.
 */
public final class SettingsReader {
    private SettingsReader() {}

    /**
     * Returns the record that the builder makes of a text, or all faults of the text.
     *
     * @param source the name of the text in messages, such as its file
     * @param text JSON, in which comments and trailing commas are allowed
     * @param builder reads the fields of the outermost object; it receives a placeholder value for
     *     a faulty field, and what it then returns or throws is discarded
     * @return the built value, or all faults
     */
    public static <T> Either<Faults, T> read(
            String source, String text, Function<SettingsNode, T> builder) {
        Faults faults = new Faults(source);
        Optional<SettingsValue> value = new SettingsParser(faults).parse(text);
        if (value.isEmpty()) {
            return Either.left(faults);
        }
        SettingsNode root = new SettingsNode(faults, "", value.get());
        Optional<T> built = build(root, builder);
        root.reportUnknownFields();
        return faults.isEmpty() ? Either.right(built.orElseThrow()) : Either.left(faults);
    }

    private static <T> Optional<T> build(SettingsNode root, Function<SettingsNode, T> builder) {
        try {
            return Optional.of(builder.apply(root));
        } catch (RuntimeException e) {
            if (root.hasNoFaults()) {
                root.fault(
                        "the settings are inconsistent: " + e.getMessage(),
                        "change the value named");
            }
            return Optional.empty();
        }
    }
}
