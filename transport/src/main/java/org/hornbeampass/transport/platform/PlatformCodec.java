package org.hornbeampass.transport.platform;

import io.vavr.control.Either;

import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.protocol.platform.PlatformBodies;
import org.hornbeampass.protocol.platform.PlatformPaths;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.Json;

import java.nio.charset.StandardCharsets;
import java.util.function.Function;

/**
 * Encodes calls as HTTP requests and decodes HTTP answers into replies.
 *
 * <p>Invariant: an answer that is not valid for its call becomes {@code Unavailable}, so that no
 * conclusion about the stored object is drawn from it. Stateless; thread-safe.
 */
final class PlatformCodec {
    private static final byte[] NO_BODY = new byte[0];

    private PlatformCodec() {}

    static String method(PlatformCall call) {
        if (call instanceof PlatformCall.Create) {
            return "POST";
        }
        if (call instanceof PlatformCall.Update) {
            return "PUT";
        }
        return call instanceof PlatformCall.Delete ? "DELETE" : "GET";
    }

    static String path(PlatformCall call) {
        if (call instanceof PlatformCall.Get get) {
            return PlatformPaths.object(get.key());
        }
        if (call instanceof PlatformCall.ListObjects list) {
            return PlatformPaths.list(list.prefix(), list.afterKey(), list.limit());
        }
        if (call instanceof PlatformCall.Create create) {
            return PlatformPaths.object(create.key());
        }
        if (call instanceof PlatformCall.Update update) {
            return PlatformPaths.objectAt(update.key(), update.expectedVersion());
        }
        if (call instanceof PlatformCall.Delete delete) {
            return PlatformPaths.objectAt(delete.key(), delete.expectedVersion());
        }
        PlatformCall.Watch watch = (PlatformCall.Watch) call;
        return PlatformPaths.watch(
                watch.prefix(), watch.afterVersion(), watch.maxWait().toMillis());
    }

    static byte[] body(PlatformCall call) {
        if (call instanceof PlatformCall.Create create) {
            return create.value().getBytes(StandardCharsets.UTF_8);
        }
        if (call instanceof PlatformCall.Update update) {
            return update.value().getBytes(StandardCharsets.UTF_8);
        }
        return NO_BODY;
    }

    static PlatformReply reply(PlatformCall call, int status, byte[] body) {
        String text = new String(body, StandardCharsets.UTF_8);
        if (status == PlatformPaths.STATUS_OK) {
            return successReply(call, text);
        }
        if (status == PlatformPaths.STATUS_THROTTLED) {
            return new PlatformReply.Throttled();
        }
        if (status == PlatformPaths.STATUS_NOT_FOUND && call instanceof PlatformCall.Get) {
            return new PlatformReply.Missing();
        }
        if (status == PlatformPaths.STATUS_GONE && call instanceof PlatformCall.Watch) {
            return new PlatformReply.WatchGap();
        }
        if (status == PlatformPaths.STATUS_CONFLICT && call.kind() == PlatformCall.Kind.WRITE) {
            return decodeReply(text, PlatformBodies.ConflictBody.class, PlatformCodec::toConflict);
        }
        return new PlatformReply.Unavailable("the platform answered with status " + status);
    }

    private static PlatformReply successReply(PlatformCall call, String text) {
        if (call instanceof PlatformCall.Get) {
            return decodeReply(
                    text,
                    PlatformBodies.ObjectBody.class,
                    b -> new PlatformReply.Found(b.toObject()));
        }
        if (call instanceof PlatformCall.ListObjects) {
            return decodeReply(text, PlatformBodies.ListBody.class, PlatformCodec::toListed);
        }
        if (call instanceof PlatformCall.Watch) {
            return decodeReply(text, PlatformBodies.ChangesBody.class, PlatformCodec::toChanged);
        }
        return decodeReply(
                text,
                PlatformBodies.WrittenBody.class,
                b -> new PlatformReply.Written(b.version()));
    }

    private static PlatformReply toConflict(PlatformBodies.ConflictBody body) {
        return new PlatformReply.Conflict(body.current().map(PlatformBodies.ObjectBody::toObject));
    }

    private static PlatformReply toListed(PlatformBodies.ListBody body) {
        return new PlatformReply.Listed(
                body.objects().stream().map(PlatformBodies.ObjectBody::toObject).toList(),
                body.more(),
                body.storeVersion());
    }

    private static PlatformReply toChanged(PlatformBodies.ChangesBody body) {
        return new PlatformReply.Changed(
                body.changes().stream().map(PlatformBodies.ChangeBody::toChange).toList(),
                body.upToVersion());
    }

    private static <B> PlatformReply decodeReply(
            String text, Class<B> type, Function<B, PlatformReply> reply) {
        Either<Failure, B> body = Json.decode(text, type);
        if (body.isLeft()) {
            return new PlatformReply.Unavailable(body.getLeft().message());
        }
        if (body.get() == null) {
            return new PlatformReply.Unavailable("the body of the platform's answer is null");
        }
        return reply.apply(body.get());
    }
}
