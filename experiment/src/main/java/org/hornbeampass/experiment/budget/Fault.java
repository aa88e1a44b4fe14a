package org.hornbeampass.experiment.budget;

/** What goes wrong during a run. Immutable. */
enum Fault {
    NONE,
    /** One failure domain cut off for 10 minutes, each budget topped up in the middle. */
    PARTITION,
    /** The platform gives no reply for 10 minutes. */
    PLATFORM_OUTAGE,
    /** One VM dies each minute and is replaced after 10 seconds. */
    DEATHS
}
