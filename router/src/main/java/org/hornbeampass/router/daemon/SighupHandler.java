package org.hornbeampass.router.daemon;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, which would otherwise end the process.
 *
 * <p>Java has no public API for signals. The one of the module {@code jdk.unsupported} is loaded by
 * name, so that on a runtime without it only the reload is unavailable. Stateless; safe for use by
 * any thread.
 */
final class SighupHandler {
    private static final Logger LOG = LogManager.getLogger(SighupHandler.class);

    private SighupHandler() {}

    /** Runs an action at each SIGHUP, on a separate thread. */
    static void handle(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy =
                    Proxy.newProxyInstance(
                            SighupHandler.class.getClassLoader(),
                            new Class<?>[] {handler},
                            (ignoredProxy, method, args) -> {
                                if (method.getName().equals("handle")) {
                                    action.run();
                                }
                                return null;
                            });
            Object sighup = signal.getConstructor(String.class).newInstance("HUP");
            signal.getMethod("handle", signal, handler).invoke(null, sighup, proxy);
        } catch (ReflectiveOperationException e) {
            LOG.warn("SIGHUP can't be handled on this runtime; it will terminate the process", e);
        }
    }
}
