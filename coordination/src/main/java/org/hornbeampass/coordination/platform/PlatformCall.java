package org.hornbeampass.coordination.platform;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * A call to the platform's object API.
 *
 * <p>Keys are slash-separated paths, values are JSON texts of at most one megabyte. Immutable; safe
 * for use by any thread.
 */
public sealed interface PlatformCall {
    /** The maximum size of a value, in UTF-8 bytes. */
    int MAX_VALUE_BYTES = 1 << 20;

    /** Returns the kind by which the platform counts and limits the call. */
    Kind kind();

    /** Returns the key that the call is about, or the prefix of several keys. */
    String target();

    /**
     * Returns the version on which the call rests: that which an object must have, or after which
     * changes are reported; empty if it rests on none.
     */
    default OptionalLong baseVersion() {
        return OptionalLong.empty();
    }

    /**
     * Returns the call that writes an object at the version at which it is known.
     *
     * @param key the object's key
     * @param value its new value
     * @param version its version; 0 if it does not exist
     */
    static PlatformCall write(String key, String value, long version) {
        return version == 0 ? new Create(key, value) : new Update(key, value, version);
    }

    /** The kinds by which calls are counted and limited. */
    enum Kind {
        READ,
        WRITE,
        WATCH
    }

    /**
     * Reads one object; answered {@code Found} or {@code Missing}.
     *
     * @param key the object's key
     * @param allowsStale whether the answer may be some seconds old, which costs the platform less;
     *     such an answer may differ from the current object
     */
    record Get(String key, boolean allowsStale) implements PlatformCall {
        /** Reads the current object. */
        public Get(String key) {
            this(key, false);
        }

        @Override
        public Kind kind() {
            return Kind.READ;
        }

        @Override
        public String target() {
            return key;
        }
    }

    /**
     * Lists objects in the order of their keys; answered {@code Listed}.
     *
     * @param prefix the common prefix of the keys
     * @param afterKey only keys greater than this one are listed; empty for all
     * @param limit the maximum number of objects in the answer
     */
    record ListObjects(String prefix, String afterKey, int limit) implements PlatformCall {
        @Override
        public Kind kind() {
            return Kind.READ;
        }

        @Override
        public String target() {
            return prefix;
        }
    }

    /**
     * Creates an object that must not exist; answered {@code Written} or {@code Conflict}.
     *
     * @param key the object's key
     * @param value its JSON text
     */
    record Create(String key, String value) implements PlatformCall {
        @Override
        public Kind kind() {
            return Kind.WRITE;
        }

        @Override
        public String target() {
            return key;
        }
    }

    /**
     * Replaces an object if it has a given version; answered {@code Written} or {@code Conflict}.
     *
     * @param key the object's key
     * @param value its new JSON text
     * @param expectedVersion the version that it must have
     */
    record Update(String key, String value, long expectedVersion) implements PlatformCall {
        @Override
        public Kind kind() {
            return Kind.WRITE;
        }

        @Override
        public OptionalLong baseVersion() {
            return OptionalLong.of(expectedVersion);
        }

        @Override
        public String target() {
            return key;
        }
    }

    /**
     * Deletes an object if it has a given version; answered {@code Written} or {@code Conflict}.
     *
     * @param key the object's key
     * @param expectedVersion the version that it must have
     */
    record Delete(String key, long expectedVersion) implements PlatformCall {
        @Override
        public Kind kind() {
            return Kind.WRITE;
        }

        @Override
        public OptionalLong baseVersion() {
            return OptionalLong.of(expectedVersion);
        }

        @Override
        public String target() {
            return key;
        }
    }

    /**
     * Waits for changes below a prefix; answered {@code Changed}, or {@code WatchGap} if the
     * platform no longer keeps the changes since {@code afterVersion}.
     *
     * @param prefix the common prefix of the keys
     * @param afterVersion only changes with a greater version are reported
     * @param maxWait how long to wait for the first change
     */
    record Watch(String prefix, long afterVersion, Duration maxWait) implements PlatformCall {
        @Override
        public Kind kind() {
            return Kind.WATCH;
        }

        @Override
        public OptionalLong baseVersion() {
            return OptionalLong.of(afterVersion);
        }

        @Override
        public String target() {
            return prefix;
        }
    }
}
