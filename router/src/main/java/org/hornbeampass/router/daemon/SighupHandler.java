package org.hornbeampass.router.daemon;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, which would otherwise end the process.
 *
 * <p>Java has no public API for signals; the module {@code jdk.unsupported} has one, which is found
 * by name so that a runtime without it only lacks the reload. Stateless; safe for use by any
 * thread.
 */
final class SighupHandler {
    private static final Logger LOG = LogManager.getLogger(SighupHandler.class);

    private SighupHandler() {}

    /** Runs an action at each SIGHUP, on a thread of its own. */
    static void handle(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy =
                    Proxy.newProxyInstance(
                            SighupHandler.class.getClassLoader(),
                            new Class<?>[] {handler},
                            (self, method, args) -> {
                                if (method.getName().equals("handle")) {
                                    action.run();
                                }
                                return null;
                            });
            Object hangUp = signal.getConstructor(String.class).newInstance("HUP");
            signal.getMethod("handle", signal, handler).invoke(null, hangUp, proxy);
        } catch (ReflectiveOperationException e) {
            LOG.warn("SIGHUP can't be handled by this runtime; it ends the process", e);
        }
    }
}
