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
 * The handlers of this router, by message.
 *
 * <p>Invariant: a handler is only given messages of the record that it was registered for.
 * Thread-safe.
 */
final class PeerHandlers {
    private static final Logger LOG = LogManager.getLogger(PeerHandlers.class);

    private final ConcurrentHashMap<Class<?>, Entry<?>> mEntries = new ConcurrentHashMap<>();
    private final PeerTypes mTypes;

    /** A handler with the record that it takes. */
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
            throw new IllegalArgumentException(messageClass + " has a handler already");
        }
    }

    /** Returns whether messages of a type are handled. */
    boolean handles(PeerType type) {
        return mEntries.containsKey(type.messageClass());
    }

    /** Hands a message to its handler and returns whether that went well. */
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
