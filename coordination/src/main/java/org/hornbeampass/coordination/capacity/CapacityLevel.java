package org.hornbeampass.coordination.capacity;

/**
 * Levels of a VM's utilisation that operators are told of.
 *
 * <p>A level ends only once the utilisation is clearly below its threshold, so that a utilisation
 * near a threshold does not fill the log. Immutable; safe for use by any thread.
 */
public enum CapacityLevel {
    /** The VM has free capacity. */
    NORMAL("normal", 0),
    /** The VM is named less often. */
    BUSY("busy", 0.7),
    /** More is asked for than the VM can carry; it is left out while the others have room. */
    FULL("full", 1);

    /** How far below its threshold the utilisation must be for a level to end. */
    private static final double END_MARGIN = 0.1;

    private final String mLogName;
    private final double mBegin;

    CapacityLevel(String logName, double begin) {
        mLogName = logName;
        mBegin = begin;
    }

    /** Returns the name of the level in log lines. */
    public String logName() {
        return mLogName;
    }

    /** Returns the level that follows this one for a utilisation. */
    public CapacityLevel next(double utilisation) {
        CapacityLevel next = NORMAL;
        for (CapacityLevel level : values()) {
            double margin = level.compareTo(this) <= 0 ? END_MARGIN : 0;
            if (utilisation >= level.mBegin - margin) {
                next = level;
            }
        }
        return next;
    }
}
