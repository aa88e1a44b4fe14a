package org.hornbeampass.router.admin;

/**
 * Names one object of the configuration.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param kind what it is
 * @param name its name among those of its kind
 */
public record ConfigObject(Kind kind, String name) {
    /** The kinds of objects. */
    public enum Kind {
        TEMPLATE("template"),
        ORGANISATION("organisation"),
        UPSTREAM("upstream");

        private final String mWord;

        Kind(String word) {
            mWord = word;
        }

        /** Returns the kind's name in messages and in the command line's verbs. */
        public String word() {
            return mWord;
        }
    }

    /** Returns the name of a template. */
    public static ConfigObject template(String name) {
        return new ConfigObject(Kind.TEMPLATE, name);
    }

    /** Returns the name of an organisation. */
    public static ConfigObject organisation(String name) {
        return new ConfigObject(Kind.ORGANISATION, name);
    }

    /** Returns the name of an upstream. */
    public static ConfigObject upstream(String name) {
        return new ConfigObject(Kind.UPSTREAM, name);
    }

    @Override
    public String toString() {
        return kind.word() + " " + name;
    }
}
