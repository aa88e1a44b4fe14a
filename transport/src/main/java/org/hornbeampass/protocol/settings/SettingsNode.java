package org.hornbeampass.protocol.settings;

import org.hornbeampass.protocol.settings.SettingsValue.Field;
import org.hornbeampass.protocol.settings.SettingsValue.Kind;

import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * An object of a settings text, whose fields are read one by one.
 *
 * <p>Invariants: a reading method that finds a fault records it and returns a placeholder value, so
 * that one reading finds all faults; {@link #reportUnknownFields} records a fault for each field
 * that no reading method asked for. Not thread-safe: used by the one thread that reads the text.
 */
public final class SettingsNode {
    private static final String ADD_IT = "add it";

    private final Faults mFaults;
    private final String mPath;
    private final SettingsValue mValue;
    private final Set<String> mRequested = new LinkedHashSet<>();
    private final List<SettingsNode> mChildren = new ArrayList<>();

    SettingsNode(Faults faults, String path, SettingsValue value) {
        mFaults = faults;
        mPath = path;
        mValue = value;
        if (value.kind() != Kind.OBJECT) {
            fault("it is " + value.kind().label(), "write an object in braces");
        }
    }

    /** Returns a required string that is not blank. */
    public String requiredString(String name) {
        return required(name, SettingsField::text, "missing");
    }

    /** Returns an optional string that is not blank. */
    public Optional<String> optionalString(String name) {
        return optional(name).flatMap(SettingsField::text);
    }

    /** Returns an optional string that is not blank. */
    public String optionalString(String name, String defaultValue) {
        return optionalString(name).orElse(defaultValue);
    }

    /** Returns a required key. */
    public Secret requiredSecret(String name) {
        return Secret.of(requiredString(name));
    }

    /** Returns a required whole number; both bounds are inclusive. */
    public long requiredLong(String name, long min, long max) {
        return required(name, f -> f.wholeNumber(min, max), min);
    }

    /** Returns an optional whole number; both bounds are inclusive. */
    public long optionalLong(String name, long defaultValue, long min, long max) {
        return optional(name).flatMap(f -> f.wholeNumber(min, max)).orElse(defaultValue);
    }

    /** Returns an optional whole number; both bounds are inclusive. */
    public int optionalInt(String name, int defaultValue, int min, int max) {
        return Math.toIntExact(optionalLong(name, defaultValue, min, max));
    }

    /** Returns an optional number; both bounds are inclusive. */
    public double optionalDouble(String name, double defaultValue, double min, double max) {
        return optional(name).flatMap(f -> f.fraction(min, max)).orElse(defaultValue);
    }

    /** Returns an optional boolean. */
    public boolean optionalBoolean(String name, boolean defaultValue) {
        return optional(name).flatMap(SettingsField::booleanValue).orElse(defaultValue);
    }

    /**
     * Returns an optional duration in milliseconds; the inclusive bounds are in milliseconds too.
     */
    public long optionalDuration(String name, long defaultMs, long minMs, long maxMs) {
        return optional(name).flatMap(f -> f.durationMs(minMs, maxMs)).orElse(defaultMs);
    }

    /**
     * Returns a required duration in milliseconds; the inclusive bounds are in milliseconds too.
     */
    public long requiredDuration(String name, long minMs, long maxMs) {
        return required(name, f -> f.durationMs(minMs, maxMs), minMs);
    }

    /** Returns an optional size in bytes; the inclusive bounds are in bytes too. */
    public long optionalSize(String name, long defaultBytes, long minBytes, long maxBytes) {
        return optional(name).flatMap(f -> f.sizeBytes(minBytes, maxBytes)).orElse(defaultBytes);
    }

    /** Returns a required enum constant, which the text names in lower case. */
    public <E extends Enum<E>> E requiredEnum(String name, Class<E> type) {
        return required(name, f -> f.constant(type), type.getEnumConstants()[0]);
    }

    /** Returns an optional enum constant, which the text names in lower case. */
    public <E extends Enum<E>> E optionalEnum(String name, E defaultValue) {
        return optional(name)
                .flatMap(f -> f.constant(defaultValue.getDeclaringClass()))
                .orElse(defaultValue);
    }

    /** Returns a required IP address and port; no other field may have the same. */
    public InetSocketAddress requiredAddress(String name) {
        return required(name, SettingsField::address, SettingsField.PLACEHOLDER_ADDRESS);
    }

    /** Returns an optional IP address and port; no other field may have the same. */
    public Optional<InetSocketAddress> optionalAddress(String name) {
        return optional(name).flatMap(SettingsField::address);
    }

    /** Returns a required http or https URI. */
    public URI requiredUri(String name) {
        return required(name, SettingsField::uri, URI.create("http://0.0.0.0"));
    }

    /** Returns a required list of one or more http or https URIs without duplicates. */
    public List<URI> requiredUris(String name) {
        List<URI> uris = items(name, SettingsField::uri);
        Set<URI> seen = new LinkedHashSet<>();
        for (URI uri : uris) {
            if (!seen.add(uri)) {
                fault(name, uri + " is listed twice", "keep one");
            }
        }
        if (uris.isEmpty() && optional(name).isEmpty()) {
            fault(name, "it is missing", ADD_IT);
        }
        return uris;
    }

    /** Returns an optional list of strings; empty if the field is missing. */
    public List<String> optionalStrings(String name) {
        return items(name, SettingsField::text);
    }

    /** Returns the path of an optional file, which this process must be able to read. */
    public Optional<Path> optionalFile(String name) {
        Optional<Path> path = optionalString(name).map(Path::of);
        if (path.isPresent() && !Files.isReadable(path.get())) {
            fault(name, path.get() + " can't be read", "name a file that this process may read");
        }
        return path;
    }

    /** Returns a required object. */
    public SettingsNode requiredNode(String name) {
        Optional<SettingsNode> node = optionalNode(name);
        if (node.isPresent()) {
            return node.get();
        }
        fault(name, "it is missing", ADD_IT);
        return new SettingsNode(new Faults(""), path(name), SettingsValue.object(0, 0, Map.of()));
    }

    /** Returns an optional object. */
    public Optional<SettingsNode> optionalNode(String name) {
        return optional(name).map(f -> child(f.path(), f.value()));
    }

    /**
     * Returns what the reader makes of each object of an optional list; empty if the field is
     * missing.
     */
    public <T> List<T> list(String name, Function<SettingsNode, T> reader) {
        return items(name, f -> Optional.of(reader.apply(child(f.path(), f.value()))));
    }

    /**
     * Returns what the reader makes of each field's object, for an object with arbitrary field
     * names, such as a table keyed by name.
     */
    public <T> List<T> entries(Function<SettingsNode, T> reader) {
        List<T> result = new ArrayList<>();
        for (String name : mValue.fields().keySet()) {
            optionalNode(name).ifPresent(node -> result.add(reader.apply(node)));
        }
        return result;
    }

    /** Returns the last part of this object's path, such as its key within a table. */
    public String name() {
        return mPath.substring(mPath.lastIndexOf('.') + 1);
    }

    /** Records a fault of the whole object. */
    public void fault(String problem, String remedy) {
        mFaults.add(new Fault(mValue.line(), mValue.column(), mPath, problem, remedy));
    }

    /** Records a fault of one field, such as a value that contradicts another field. */
    public void fault(String name, String problem, String remedy) {
        Optional<Field> field = Optional.ofNullable(mValue.fields().get(name));
        int line = field.map(f -> f.value().line()).orElse(mValue.line());
        int column = field.map(f -> f.value().column()).orElse(mValue.column());
        mFaults.add(new Fault(line, column, path(name), problem, remedy));
    }

    /** Records a fault for each field of this object and its children that was never asked for. */
    void reportUnknownFields() {
        mValue.fields()
                .forEach(
                        (name, field) -> {
                            if (!mRequested.contains(name)) {
                                mFaults.add(unknownField(name, field));
                            }
                        });
        mChildren.forEach(SettingsNode::reportUnknownFields);
    }

    boolean hasNoFaults() {
        return mFaults.isEmpty();
    }

    private Fault unknownField(String name, Field field) {
        return new Fault(
                field.line(),
                field.column(),
                path(name),
                "there is no such field",
                Spelling.closest(name, mRequested)
                        .map(known -> "did you mean \"" + known + "\"?")
                        .orElse("remove it, or use one of " + String.join(", ", mRequested)));
    }

    private Optional<SettingsField> optional(String name) {
        mRequested.add(name);
        return Optional.ofNullable(mValue.fields().get(name))
                .map(f -> new SettingsField(mFaults, path(name), f.value()));
    }

    private <T> T required(
            String name, Function<SettingsField, Optional<T>> reader, T placeholder) {
        Optional<SettingsField> field = optional(name);
        if (field.isEmpty()) {
            fault(name, "it is missing", ADD_IT);
        }
        return field.flatMap(reader).orElse(placeholder);
    }

    private <T> List<T> items(String name, Function<SettingsField, Optional<T>> reader) {
        List<T> result = new ArrayList<>();
        for (SettingsField item : optional(name).map(SettingsField::items).orElse(List.of())) {
            reader.apply(item).ifPresent(result::add);
        }
        return result;
    }

    private SettingsNode child(String path, SettingsValue value) {
        SettingsNode child = new SettingsNode(mFaults, path, value);
        mChildren.add(child);
        return child;
    }

    private String path(String name) {
        return mPath.isEmpty() ? name : mPath + "." + name;
    }
}
