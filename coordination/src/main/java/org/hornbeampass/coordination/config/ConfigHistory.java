package org.hornbeampass.coordination.config;

import io.vavr.control.Either;

import org.hornbeampass.state.Failure;
import org.hornbeampass.state.Json;
import org.hornbeampass.state.Sha256;
import org.hornbeampass.state.config.ConfigSnapshot;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The changes that one VM has applied: the current configuration and the most recent entries.
 *
 * <p>Invariants: the revision never decreases; an entry is applied only if its revision is the next
 * one and it names the hash of this history, so entries of two histories that differ are never
 * combined. Not thread-safe: guarded by the lock of {@link ConfigStore}.
 */
final class ConfigHistory {
    private static final int HASH_CHARS = 32;

    private final int mMaxEntries;
    private final TreeMap<Long, AppliedEntry> mEntries = new TreeMap<>();
    private ConfigSnapshot mSnapshot = ConfigSnapshot.empty();
    private String mHash = "";

    /** The result of applying an entry. */
    enum Outcome {
        /** The entry was the next one and has been applied. */
        APPLIED,
        /** The entry had been applied before. */
        KNOWN,
        /** Entries between the current revision and this one are missing. */
        GAP,
        /** The entry belongs to another history or can't be decoded. */
        FOREIGN
    }

    /** An applied entry with its text as stored on the platform. */
    record AppliedEntry(ConfigEntry entry, String text, String hashAfter) {}

    ConfigHistory(int keep) {
        mMaxEntries = keep;
    }

    ConfigSnapshot snapshot() {
        return mSnapshot;
    }

    long revision() {
        return mSnapshot.revision();
    }

    /** Returns the hash of the history up to the current revision. */
    String hash() {
        return mHash;
    }

    /** Returns an applied entry; empty if it is no longer kept. */
    Optional<ConfigEntry> entry(long revision) {
        return Optional.ofNullable(mEntries.get(revision)).map(AppliedEntry::entry);
    }

    /** Returns the hash of the history up to a revision; empty if it is no longer known. */
    Optional<String> hashAt(long revision) {
        if (revision == revision()) {
            return Optional.of(mHash);
        }
        AppliedEntry kept = mEntries.get(revision);
        if (kept != null) {
            return Optional.of(kept.hashAfter());
        }
        return Optional.ofNullable(mEntries.get(revision + 1)).map(k -> k.entry().previous());
    }

    /** Returns the result that applying an entry would have, without applying it. */
    Outcome classify(String text) {
        Either<Failure, ConfigEntry> decoded = Json.decode(text, ConfigEntry.class);
        return decoded.isLeft() ? Outcome.FOREIGN : classifyDecoded(decoded.get(), text);
    }

    private Outcome classifyDecoded(ConfigEntry entry, String text) {
        if (entry.revision() <= revision()) {
            AppliedEntry kept = mEntries.get(entry.revision());
            return kept == null || kept.text().equals(text) ? Outcome.KNOWN : Outcome.FOREIGN;
        }
        if (entry.revision() > revision() + 1) {
            return Outcome.GAP;
        }
        return entry.previous().equals(mHash) ? Outcome.APPLIED : Outcome.FOREIGN;
    }

    Outcome apply(String text) {
        Outcome outcome = classify(text);
        if (outcome != Outcome.APPLIED) {
            return outcome;
        }
        ConfigEntry entry = Json.decode(text, ConfigEntry.class).get();
        mSnapshot = mSnapshot.with(entry.change());
        mHash = hash(mHash, text);
        mEntries.put(entry.revision(), new AppliedEntry(entry, text, mHash));
        while (mEntries.size() > mMaxEntries) {
            mEntries.pollFirstEntry();
        }
        return Outcome.APPLIED;
    }

    /** Replaces the history by a snapshot; returns false if the snapshot is not newer. */
    boolean reset(ConfigSnapshot snapshot, String hash) {
        if (snapshot.revision() <= revision()) {
            return false;
        }
        mSnapshot = snapshot;
        mHash = hash;
        mEntries.clear();
        return true;
    }

    /**
     * Returns the texts of the entries after a revision up to a size, but at least one if any is
     * kept.
     */
    List<String> textsAfter(long revision, int maxBytes) {
        List<String> texts = new ArrayList<>();
        int bytes = 0;
        if (!mEntries.containsKey(revision + 1)) {
            return texts;
        }
        for (AppliedEntry kept : mEntries.tailMap(revision, false).values()) {
            bytes += kept.text().length();
            if (!texts.isEmpty() && bytes > maxBytes) {
                break;
            }
            texts.add(kept.text());
        }
        return texts;
    }

    /** Returns the hash of a history with one more entry. */
    static String hash(String before, String text) {
        return HexFormat.of().formatHex(Sha256.hash(before + text)).substring(0, HASH_CHARS);
    }
}
