package org.hornbeampass.coordination.requests;

import java.util.ArrayList;
import java.util.List;

/**
 * Builds the platform keys of one shard's checkpoint.
 *
 * <p>The parts of claims and totals are named after the generation that was opened when the
 * checkpoint was taken, and the parts of a generation after its number, so two VMs that take the
 * same checkpoint write the same content under the same keys. Immutable; safe for use by any
 * thread.
 *
 * @param shard the shard, from 0
 */
record CheckpointKeys(int shard) {
    private static final String PREFIX = "request-checkpoints/";

    private String key(String name) {
        return PREFIX + shard + "/" + name;
    }

    String manifest() {
        return key("manifest");
    }

    String generation(long number, int part) {
        return key("ids-" + number + "-" + part);
    }

    String claims(long openNumber, int part) {
        return key("claims-" + openNumber + "-" + part);
    }

    String totals(long openNumber, int part) {
        return key("totals-" + openNumber + "-" + part);
    }

    /**
     * Returns the keys of the parts that the manifest {@code before} lists and {@code after} does
     * not.
     */
    List<String> obsoleteKeys(CheckpointManifest before, CheckpointManifest after) {
        List<String> keys = new ArrayList<>();
        before.generations().stream()
                .filter(g -> after.generation(g.number()).isEmpty())
                .forEach(
                        g -> {
                            for (int i = 0; i < g.parts(); i++) {
                                keys.add(generation(g.number(), i));
                            }
                        });
        if (before.openNumber() == after.openNumber()) {
            return keys;
        }
        for (int i = 0; i < before.claimParts(); i++) {
            keys.add(claims(before.openNumber(), i));
        }
        for (int i = 0; i < before.totalParts(); i++) {
            keys.add(totals(before.openNumber(), i));
        }
        return keys;
    }
}
