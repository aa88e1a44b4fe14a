package org.hornbeampass.coordination.stream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The origins of one VM's recent streams, as the store records them.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param digests the digests of the streams' keys by service and software version
 */
record ArchivedStreams(Map<String, Map<String, List<String>>> digests) {
    /** Returns the record of some origins by digest. */
    static ArchivedStreams of(Map<String, StreamOrigin> origins) {
        Map<String, Map<String, List<String>>> byService = new TreeMap<>();
        origins.forEach(
                (digest, origin) ->
                        byService
                                .computeIfAbsent(origin.service(), s -> new TreeMap<>())
                                .computeIfAbsent(origin.softwareVersion(), v -> new ArrayList<>())
                                .add(digest));
        return new ArchivedStreams(byService);
    }

    /** Returns the origins by digest. */
    Map<String, StreamOrigin> origins() {
        Map<String, StreamOrigin> origins = new HashMap<>();
        digests.forEach(
                (service, byVersion) ->
                        byVersion.forEach(
                                (version, all) ->
                                        all.forEach(
                                                d ->
                                                        origins.put(
                                                                d,
                                                                new StreamOrigin(
                                                                        service, version)))));
        return origins;
    }
}
