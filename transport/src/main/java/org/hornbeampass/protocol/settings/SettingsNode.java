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
 * An object of a settings text, read field by field.
 *
 * <p>Invariants: each reading method records what is wrong and returns a stand-in value, so that
 * reading goes on; {@link #reportUnknownFields} flags each field that was never asked for. Not
 * thread-safe: used while one text is read.
 */
public final class SettingsNode {
    private static final String ADD_IT = "add it";

    private final Faults mFaults;
    private final String mPath;
    private final SettingsValue mValue;
    private final Set<String> mKnown = new LinkedHashSet<>();
    private final List<SettingsNode> mChildren = new ArrayList<>();

    SettingsNode(Faults faults, String path, SettingsValue value) {
        mFaults = faults;
        mPath = path;
        mValue = value;
        if (value.kind() != Kind.OBJECT) {
            fault("it is " + value.kind().label(), "write an object in braces");
        }
    }

    /** Returns a text that must be there and not be blank. */
    public String requiredString(String name) {
        return required(name, SettingsField::text, "missing");
    }

    /** Returns a text that may be left out. */
    public Optional<String> optionalString(String name) {
        return optional(name).flatMap(SettingsField::text);
    }

    /** Returns a text that may be left out. */
    public String optionalString(String name, String otherwise) {
        return optionalString(name).orElse(otherwise);
    }

    /** Returns a key that must be there. */
    public Secret requiredSecret(String name) {
        return Secret.of(requiredString(name));
    }

    /** Returns a whole number that must be there. */
    public long requiredLong(String name, long min, long max) {
        return required(name, f -> f.wholeNumber(min, max), min);
    }

    /** Returns a whole number that may be left out. */
    public long optionalLong(String name, long otherwise, long min, long max) {
        return optional(name).flatMap(f -> f.wholeNumber(min, max)).orElse(otherwise);
    }

    /** Returns a whole number that may be left out. */
    public int optionalInt(String name, int otherwise, int min, int max) {
        return Math.toIntExact(optionalLong(name, otherwise, min, max));
    }

    /** Returns a number that may be left out. */
    public double optionalDouble(String name, double otherwise, double min, double max) {
        return optional(name).flatMap(f -> f.fraction(min, max)).orElse(otherwise);
    }

    /** Returns true or false, which may be left out. */
    public boolean optionalBoolean(String name, boolean otherwise) {
        return optional(name).flatMap(SettingsField::booleanValue).orElse(otherwise);
    }

    /** Returns a duration in milliseconds that may be left out; the bounds too are in ms. */
    public long optionalDuration(String name, long otherwiseMs, long minMs, long maxMs) {
        return optional(name).flatMap(f -> f.durationMs(minMs, maxMs)).orElse(otherwiseMs);
    }

    /** Returns a duration in milliseconds that must be there; the bounds too are in ms. */
    public long requiredDuration(String name, long minMs, long maxMs) {
        return required(name, f -> f.durationMs(minMs, maxMs), minMs);
    }

    /** Returns a size in bytes that may be left out; the bounds too are in bytes. */
    public long optionalSize(String name, long otherwiseBytes, long minBytes, long maxBytes) {
        return optional(name).flatMap(f -> f.sizeBytes(minBytes, maxBytes)).orElse(otherwiseBytes);
    }

    /** Returns one of an enum's constants, written in lower case, that must be there. */
    public <E extends Enum<E>> E requiredEnum(String name, Class<E> type) {
        return required(name, f -> f.constant(type), type.getEnumConstants()[0]);
    }

    /** Returns one of an enum's constants, written in lower case, that may be left out. */
    public <E extends Enum<E>> E optionalEnum(String name, E otherwise) {
        return optional(name)
                .flatMap(f -> f.constant(otherwise.getDeclaringClass()))
                .orElse(otherwise);
    }

    /** Returns an IP number and port that must be there and that no other field may have. */
    public InetSocketAddress requiredAddress(String name) {
        return required(name, SettingsField::address, SettingsField.PLACEHOLDER_ADDRESS);
    }

    /** Returns an IP number and port that may be left out and that no other field may have. */
    public Optional<InetSocketAddress> optionalAddress(String name) {
        return optional(name).flatMap(SettingsField::address);
    }

    /** Returns an http or https URI that must be there. */
    public URI requiredUri(String name) {
        return required(name, SettingsField::uri, URI.create("http://0.0.0.0"));
    }

    /** Returns at least one http or https URI, none of them twice. */
    public List<URI> requiredUris(String name) {
        List<URI> uris = items(name, SettingsField::uri);
        Set<URI> seen = new LinkedHashSet<>();
        for (URI uri : uris) {
            if (!seen.add(uri)) {
                fault(name, uri + " stands twice", "keep one");
            }
        }
        if (uris.isEmpty() && optional(name).isEmpty()) {
            fault(name, "it is missing", ADD_IT);
        }
        return uris;
    }

    /** Returns a list of texts; empty where it is left out. */
    public List<String> optionalStrings(String name) {
        return items(name, SettingsField::text);
    }

    /** Returns a file that can be read, which may be left out. */
    public Optional<Path> optionalFile(String name) {
        Optional<Path> path = optionalString(name).map(Path::of);
        if (path.isPresent() && !Files.isReadable(path.get())) {
            fault(name, path.get() + " can't be read", "give a file that this process may read");
        }
        return path;
    }

    /** Returns an object that must be there. */
    public SettingsNode requiredNode(String name) {
        Optional<SettingsNode> node = optionalNode(name);
        if (node.isPresent()) {
            return node.get();
        }
        fault(name, "it is missing", ADD_IT);
        return new SettingsNode(new Faults(""), path(name), SettingsValue.object(0, 0, Map.of()));
    }

    /** Returns an object that may be left out. */
    public Optional<SettingsNode> optionalNode(String name) {
        return optional(name).map(f -> child(f.path(), f.value()));
    }

    /** Reads each object of a list; empty where it is left out. */
    public <T> List<T> list(String name, Function<SettingsNode, T> reader) {
        return items(name, f -> Optional.of(reader.apply(child(f.path(), f.value()))));
    }

    /** Reads each field of an object whose names are free, such as a table by name. */
    public <T> List<T> entries(Function<SettingsNode, T> reader) {
        List<T> result = new ArrayList<>();
        for (String name : mValue.fields().keySet()) {
            optionalNode(name).ifPresent(node -> result.add(reader.apply(node)));
        }
        return result;
    }

    /** Returns the last part of this object's path, such as its name within a table. */
    public String name() {
        return mPath.substring(mPath.lastIndexOf('.') + 1);
    }

    /** Records what is wrong with the whole object. */
    public void fault(String problem, String remedy) {
        mFaults.add(new Fault(mValue.line(), mValue.column(), mPath, problem, remedy));
    }

    /** Records what is wrong with a field, such as one that does not fit another. */
    public void fault(String name, String problem, String remedy) {
        Optional<Field> field = Optional.ofNullable(mValue.fields().get(name));
        int line = field.map(f -> f.value().line()).orElse(mValue.line());
        int column = field.map(f -> f.value().column()).orElse(mValue.column());
        mFaults.add(new Fault(line, column, path(name), problem, remedy));
    }

    /** Flags the fields, here and below, that were never asked for. */
    void reportUnknownFields() {
        mValue.fields()
                .forEach(
                        (name, field) -> {
                            if (!mKnown.contains(name)) {
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
                Spelling.closest(name, mKnown)
                        .map(known -> "did you mean \"" + known + "\"?")
                        .orElse("remove it, or use one of " + String.join(", ", mKnown)));
    }

    private Optional<SettingsField> optional(String name) {
        mKnown.add(name);
        return Optional.ofNullable(mValue.fields().get(name))
                .map(f -> new SettingsField(mFaults, path(name), f.value()));
    }

    private <T> T required(String name, Function<SettingsField, Optional<T>> reader, T standIn) {
        Optional<SettingsField> field = optional(name);
        if (field.isEmpty()) {
            fault(name, "it is missing", ADD_IT);
        }
        return field.flatMap(reader).orElse(standIn);
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
