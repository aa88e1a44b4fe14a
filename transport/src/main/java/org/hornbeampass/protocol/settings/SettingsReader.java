package org.hornbeampass.protocol.settings;

import io.vavr.control.Either;

import java.util.Optional;
import java.util.function.Function;

/**
 * Reads a settings text into a typed record, or reports all that is wrong with it.
 *
 * <p>Invariant: a value is only returned where there is no fault. Stateless; safe for use by any
 * thread.
 */
public final class SettingsReader {
    private SettingsReader() {}

    /**
     * Reads a text.
     *
     * @param source the text's name in messages, such as its file
     * @param text JSON with comments
     * @param builder reads the fields of the outermost object; where a field is at fault, it is
     *     given a stand-in value, and what it returns or throws is dropped
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
                root.fault("the settings don't fit: " + e.getMessage(), "change the value named");
            }
            return Optional.empty();
        }
    }
}
