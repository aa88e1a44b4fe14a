/** The main job on embedded stand-ins: requests in, whole answers out, bills that agree. */
package org.hornbeampass.experiment.demo;
