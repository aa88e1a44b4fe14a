package org.hornbeampass.standin.platform;

import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.protocol.platform.PlatformBodies;
import org.hornbeampass.protocol.platform.PlatformPaths;
import org.hornbeampass.standin.admin.Answers;
import org.hornbeampass.transport.http.HttpExchange;

/**
 * Answers an HTTP request with a platform reply, by {@link PlatformPaths}.
 *
 * <p>Stateless and thread-safe.
 */
final class ReplyWriter {
    private ReplyWriter() {}

    static void write(HttpExchange exchange, PlatformReply reply) {
        if (reply instanceof PlatformReply.Found found) {
            ok(exchange, PlatformBodies.ObjectBody.of(found.object()));
        } else if (reply instanceof PlatformReply.Missing) {
            Answers.error(exchange, PlatformPaths.STATUS_NOT_FOUND, "no such object");
        } else if (reply instanceof PlatformReply.Listed listed) {
            ok(exchange, body(listed));
        } else if (reply instanceof PlatformReply.Written written) {
            ok(exchange, new PlatformBodies.WrittenBody(written.version()));
        } else if (reply instanceof PlatformReply.Conflict conflict) {
            Answers.json(exchange, PlatformPaths.STATUS_CONFLICT, body(conflict));
        } else if (reply instanceof PlatformReply.Changed changed) {
            ok(exchange, body(changed));
        } else if (reply instanceof PlatformReply.WatchGap) {
            Answers.error(exchange, PlatformPaths.STATUS_GONE, "the changes are no longer held");
        } else if (reply instanceof PlatformReply.Throttled) {
            Answers.error(exchange, PlatformPaths.STATUS_THROTTLED, "beyond the rate limit");
        } else {
            exchange.abort();
        }
    }

    private static void ok(HttpExchange exchange, Object body) {
        Answers.json(exchange, PlatformPaths.STATUS_OK, body);
    }

    private static PlatformBodies.ListBody body(PlatformReply.Listed listed) {
        return new PlatformBodies.ListBody(
                listed.objects().stream().map(PlatformBodies.ObjectBody::of).toList(),
                listed.more(),
                listed.storeVersion());
    }

    private static PlatformBodies.ConflictBody body(PlatformReply.Conflict conflict) {
        return new PlatformBodies.ConflictBody(
                conflict.current().map(PlatformBodies.ObjectBody::of));
    }

    private static PlatformBodies.ChangesBody body(PlatformReply.Changed changed) {
        return new PlatformBodies.ChangesBody(
                changed.changes().stream().map(PlatformBodies.ChangeBody::of).toList(),
                changed.upToVersion());
    }
}
