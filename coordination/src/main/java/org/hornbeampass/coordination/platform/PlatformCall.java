package org.hornbeampass.coordination.platform;

import java.time.Duration;

/**
 * A call to the platform's object API.
 *
 * <p>Keys are slash-separated paths, values are JSON texts of at most one megabyte. Immutable; safe
 * for use by any thread.
 */
public sealed interface PlatformCall {
    /** The largest value that the platform holds, in UTF-8 bytes. */
    int MAX_VALUE_BYTES = 1 << 20;

    /** How the platform counts the call. */
    Kind kind();

    /** The kinds in which calls are counted. */
    enum Kind {
        READ,
        WRITE,
        WATCH
    }

    /**
     * Reads one object; answered {@code Found} or {@code Missing}.
     *
     * @param key the object's key
     * @param allowsStale whether an answer will do that is some seconds old, which costs the
     *     platform less; such an answer proves nothing about the present
     */
    record Get(String key, boolean allowsStale) implements PlatformCall {
        /** Reads an object as it is now. */
        public Get(String key) {
            this(key, false);
        }

        @Override
        public Kind kind() {
            return Kind.READ;
        }
    }

    /**
     * Lists objects in the order of their keys; answered {@code Listed}.
     *
     * @param prefix the prefix that the keys share
     * @param afterKey only keys greater than this one; empty for all
     * @param limit the largest number of objects in the answer
     */
    record ListObjects(String prefix, String afterKey, int limit) implements PlatformCall {
        @Override
        public Kind kind() {
            return Kind.READ;
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
    }

    /**
     * Replaces an object at a given version; answered {@code Written} or {@code Conflict}.
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
    }

    /**
     * Deletes an object at a given version; answered {@code Written} or {@code Conflict}.
     *
     * @param key the object's key
     * @param expectedVersion the version that it must have
     */
    record Delete(String key, long expectedVersion) implements PlatformCall {
        @Override
        public Kind kind() {
            return Kind.WRITE;
        }
    }

    /**
     * Waits for changes below a prefix; answered {@code Changed}, or {@code WatchGap} where the
     * platform no longer holds the changes since {@code afterVersion}.
     *
     * @param prefix the prefix that the keys share
     * @param afterVersion only changes with a greater version
     * @param maxWait how long to wait for the first change
     */
    record Watch(String prefix, long afterVersion, Duration maxWait) implements PlatformCall {
        @Override
        public Kind kind() {
            return Kind.WATCH;
        }
    }
}
