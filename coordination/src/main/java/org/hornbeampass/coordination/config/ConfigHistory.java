package org.hornbeampass.coordination.config;

import io.vavr.control.Either;

import org.hornbeampass.state.Failure;
import org.hornbeampass.state.Json;
import org.hornbeampass.state.config.ConfigSnapshot;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The changes that one VM has applied: the present configuration and the newest entries.
 *
 * <p>Invariants: the revision never falls; an entry is applied only as the next one and only if it
 * names the hash of this very history, so two histories that once differed never mix. Not
 * thread-safe: guarded by the lock of {@link ConfigStore}.
 */
final class ConfigHistory {
    private static final int HASH_CHARS = 32;

    private final int mKeep;
    private final TreeMap<Long, Kept> mKept = new TreeMap<>();
    private ConfigSnapshot mSnapshot = ConfigSnapshot.empty();
    private String mHash = "";

    /** What came of an entry. */
    enum Outcome {
        /** It was the next one and is applied. */
        APPLIED,
        /** It was applied before. */
        KNOWN,
        /** Entries before it are missing. */
        GAP,
        /** It belongs to another history, or can't be read. */
        FOREIGN
    }

    /** One applied entry with its text as it stands on the platform. */
    record Kept(ConfigEntry entry, String text, String hashAfter) {}

    ConfigHistory(int keep) {
        mKeep = keep;
    }

    ConfigSnapshot snapshot() {
        return mSnapshot;
    }

    long revision() {
        return mSnapshot.revision();
    }

    /** Returns the hash of the whole history up to now. */
    String hash() {
        return mHash;
    }

    /** Returns an applied entry, where it is still kept. */
    Optional<ConfigEntry> entry(long revision) {
        return Optional.ofNullable(mKept.get(revision)).map(Kept::entry);
    }

    /** Returns the hash after a revision; empty where it is no longer known. */
    Optional<String> hashAt(long revision) {
        if (revision == revision()) {
            return Optional.of(mHash);
        }
        Kept kept = mKept.get(revision);
        if (kept != null) {
            return Optional.of(kept.hashAfter());
        }
        return Optional.ofNullable(mKept.get(revision + 1)).map(k -> k.entry().previous());
    }

    /** Tells what applying an entry would come to, without doing it. */
    Outcome peek(String text) {
        Either<Failure, ConfigEntry> decoded = Json.decode(text, ConfigEntry.class);
        return decoded.isLeft() ? Outcome.FOREIGN : place(decoded.get(), text);
    }

    private Outcome place(ConfigEntry entry, String text) {
        if (entry.revision() <= revision()) {
            Kept kept = mKept.get(entry.revision());
            return kept == null || kept.text().equals(text) ? Outcome.KNOWN : Outcome.FOREIGN;
        }
        if (entry.revision() > revision() + 1) {
            return Outcome.GAP;
        }
        return entry.previous().equals(mHash) ? Outcome.APPLIED : Outcome.FOREIGN;
    }

    Outcome apply(String text) {
        Outcome outcome = peek(text);
        if (outcome != Outcome.APPLIED) {
            return outcome;
        }
        ConfigEntry entry = Json.decode(text, ConfigEntry.class).get();
        mSnapshot = mSnapshot.with(entry.change());
        mHash = hash(mHash, text);
        mKept.put(entry.revision(), new Kept(entry, text, mHash));
        while (mKept.size() > mKeep) {
            mKept.pollFirstEntry();
        }
        return Outcome.APPLIED;
    }

    /** Starts from a snapshot; ignored unless it is newer than what is applied. */
    boolean reset(ConfigSnapshot snapshot, String hash) {
        if (snapshot.revision() <= revision()) {
            return false;
        }
        mSnapshot = snapshot;
        mHash = hash;
        mKept.clear();
        return true;
    }

    /** Returns the texts of the entries after a revision, the first in any case, within a size. */
    List<String> textsAfter(long revision, int maxBytes) {
        List<String> texts = new ArrayList<>();
        int bytes = 0;
        if (!mKept.containsKey(revision + 1)) {
            return texts;
        }
        for (Kept kept : mKept.tailMap(revision, false).values()) {
            bytes += kept.text().length();
            if (!texts.isEmpty() && bytes > maxBytes) {
                break;
            }
            texts.add(kept.text());
        }
        return texts;
    }

    /** Returns the hash of a history with one further entry. */
    static String hash(String before, String text) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(before.getBytes(StandardCharsets.UTF_8));
            byte[] hash = digest.digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash).substring(0, HASH_CHARS);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this Java lacks SHA-256", e);
        }
    }
}
