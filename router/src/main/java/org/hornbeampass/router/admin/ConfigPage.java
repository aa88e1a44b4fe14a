package org.hornbeampass.router.admin;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * A page of a map's values, sorted by name.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param items the values
 * @param next the name after which the next page starts; empty on the last page
 * @param <T> the type of the values
 */
record ConfigPage<T>(List<T> items, Optional<String> next) {
    /**
     * Returns the page of a map that starts after a name.
     *
     * @param all all values by name
     * @param after the name after which the page starts; empty for the first page
     * @param limit the largest number of values on the page
     */
    static <K, T> ConfigPage<T> of(Map<K, T> all, Optional<String> after, int limit) {
        TreeMap<String, T> sorted = new TreeMap<>();
        all.forEach((name, value) -> sorted.put(name.toString(), value));
        Map<String, T> tail = after.isPresent() ? sorted.tailMap(after.get(), false) : sorted;
        List<String> names = tail.keySet().stream().limit(limit).toList();
        boolean last = names.size() == tail.size();
        return new ConfigPage<>(
                names.stream().map(sorted::get).toList(),
                last ? Optional.empty() : Optional.of(names.get(names.size() - 1)));
    }

    /** Returns the page's values, each converted to its view for operators. */
    <V> List<V> views(Function<T, V> view) {
        return items.stream().map(view).toList();
    }
}
