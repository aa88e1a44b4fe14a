package org.hornbeampass.transport.peer;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hornbeampass.coordination.peer.PeerHandler;
import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.protocol.peer.PeerType;
import org.hornbeampass.protocol.peer.PeerTypes;
import org.hornbeampass.state.VmId;

import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/**
 * Registers the message handlers of this router and passes messages to them.
 *
 * <p>Invariant: a handler only receives messages of the record class that it was registered for.
 * Thread-safe.
 */
final class PeerHandlers {
    private static final Logger LOG = LogManager.getLogger(PeerHandlers.class);

    private final ConcurrentHashMap<Class<?>, Entry<?>> mEntries = new ConcurrentHashMap<>();
    private final PeerTypes mTypes;

    /** A handler with the record class that it accepts. */
    private record Entry<M extends PeerMessage>(Class<M> type, PeerHandler<M> handler) {
        void handle(long nowMs, VmId from, PeerMessage message, Consumer<PeerMessage> reply) {
            handler.handle(nowMs, from, type.cast(message), reply);
        }
    }

    PeerHandlers(PeerTypes types) {
        mTypes = types;
    }

    <M extends PeerMessage> void register(Class<M> messageClass, PeerHandler<M> handler) {
        Optional<PeerType> type = mTypes.byClass(messageClass);
        if (type.isEmpty() || type.get().form() == PeerType.Form.REPLY) {
            throw new IllegalArgumentException(
                    messageClass + " must be listed in PeerMessageType as one-way or request");
        }
        if (mEntries.putIfAbsent(messageClass, new Entry<>(messageClass, handler)) != null) {
            throw new IllegalArgumentException(messageClass + " already has a handler");
        }
    }

    /** Returns whether a handler is registered for messages of the given type. */
    boolean handles(PeerType type) {
        return mEntries.containsKey(type.messageClass());
    }

    /** Passes a message to its handler; returns false if the handler threw an exception. */
    boolean handle(long nowMs, VmId from, PeerMessage message, Consumer<PeerMessage> reply) {
        try {
            mEntries.get(message.getClass()).handle(nowMs, from, message, reply);
            return true;
        } catch (RuntimeException e) {
            LOG.error("the handler of {} from {} failed", message.getClass(), from, e);
            return false;
        }
    }
}
