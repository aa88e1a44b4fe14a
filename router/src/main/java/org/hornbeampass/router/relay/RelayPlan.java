package org.hornbeampass.router.relay;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;

import org.hornbeampass.coordination.service.PrefillUrgency;
import org.hornbeampass.state.service.Route;
import org.hornbeampass.state.service.ServiceSpec;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What is to be sent for one request, and where.
 *
 * <p>Immutable by convention: the request's head is copied before it is changed.
 *
 * @param request the caller's head
 * @param head what it says
 * @param route its route
 * @param service the service that was drawn for it
 * @param organisation who pays
 * @param deadlineMs until when it must be answered, in milliseconds
 */
record RelayPlan(
        HttpRequest request,
        CallerHead head,
        Route route,
        ServiceSpec service,
        Optional<String> organisation,
        long deadlineMs) {
    /** Returns the tokens that one event of the answer holds at most. */
    int tokensPerEvent() {
        return service.engine().map(e -> e.tokensPerEvent()).orElse(0);
    }

    /**
     * Makes the head that an upstream gets.
     *
     * @param nowMs the present time in milliseconds
     * @param wire the installation's words
     * @param use the send at the upstream that must run it
     * @param lastEvent the last event that the caller has; -1 where it has none
     */
    HttpRequest upstreamHead(long nowMs, WireFormat wire, InstanceUse use, long lastEvent) {
        HttpRequest copy =
                new DefaultHttpRequest(
                        HttpVersion.HTTP_1_1,
                        request.method(),
                        request.uri(),
                        EndToEndHeaders.of(request.headers()));
        if (request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            copy.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        OptionalLong leftMs =
                head.budgetMs().isPresent()
                        ? OptionalLong.of(Math.max(1, deadlineMs - nowMs))
                        : OptionalLong.empty();
        OptionalLong after = lastEvent >= 0 ? OptionalLong.of(lastEvent) : OptionalLong.empty();
        OptionalInt urgency =
                service.engine().isPresent()
                        ? OptionalInt.of(PrefillUrgency.of(use.tokensToRead()).rank())
                        : OptionalInt.empty();
        wire.writeUpstreamHead(
                copy.headers(),
                new UpstreamHead(use.instance().id(), organisation, leftMs, after, urgency));
        return copy;
    }
}
