package org.hornbeampass.router.relay;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

import org.hornbeampass.coordination.admission.UrgencySteps;
import org.hornbeampass.coordination.service.PrefillUrgency;
import org.hornbeampass.coordination.stream.StreamKey;
import org.hornbeampass.state.service.HomeRegions;
import org.hornbeampass.state.service.Route;
import org.hornbeampass.state.service.ServiceSpec;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What is to be sent for one request, and on which route.
 *
 * <p>Immutable by convention: the request's head is copied before it is changed.
 *
 * @param request the caller's head
 * @param head the parsed contents of the caller's head
 * @param route the request's route
 * @param service the service that was picked for the request
 * @param organisation the organisation that pays; empty where none does
 * @param homes the regions in which the request may run
 * @param softwareVersion the software version that began the stream which the caller takes up;
 *     empty where the request begins anew
 * @param urgencySteps the urgencies that the operator's order leaves to the request at engines;
 *     empty where the length of its prompt alone decides
 * @param urgency the request's urgency for a place at its service, 0 (first) to 9 (last)
 * @param deadlineMs the time by which the request must be answered, in milliseconds
 */
record RelayPlan(
        HttpRequest request,
        CallerHead head,
        Route route,
        ServiceSpec service,
        Optional<String> organisation,
        HomeRegions homes,
        Optional<String> softwareVersion,
        Optional<UrgencySteps> urgencySteps,
        int urgency,
        long deadlineMs) {
    /** Returns the most tokens that one event of the answer holds. */
    int tokensPerEvent() {
        return service.engine().map(e -> e.tokensPerEvent()).orElse(0);
    }

    /** Returns the identity under which the caller may take this attempt's stream up. */
    StreamKey streamKey() {
        return new StreamKey(organisation.orElse(""), head.id());
    }

    /**
     * Returns whether an answer is a stream of events, which may be resumed and must not end inside
     * an event.
     *
     * @param head the head of the answer
     * @param outcome how the upstream handled the request
     */
    boolean isStream(HttpResponse head, AnswerOutcome outcome) {
        boolean succeeded =
                outcome == AnswerOutcome.SUCCEEDED
                        && head.status().codeClass() == HttpStatusClass.SUCCESS;
        return succeeded && route.kind().streams() && mayHoldEvents(head);
    }

    private static boolean mayHoldEvents(HttpResponse head) {
        CharSequence type = HttpUtil.getMimeType(head);
        return type == null || HttpHeaderValues.TEXT_EVENT_STREAM.contentEqualsIgnoreCase(type);
    }

    /**
     * Creates the head of the request that is sent to an upstream.
     *
     * @param nowMs the present time in milliseconds
     * @param wire the wire format of the installation
     * @param send the send to the upstream that must run the request
     * @param lastEventId the id of the last event that the caller has received; -1 for none
     */
    HttpRequest upstreamHead(long nowMs, WireFormat wire, InFlightSend send, long lastEventId) {
        HttpRequest copy = copyOfRequest(wire);
        OptionalLong after = lastEventId >= 0 ? OptionalLong.of(lastEventId) : OptionalLong.empty();
        OptionalInt engineUrgency =
                service.engine().isPresent()
                        ? OptionalInt.of(engineUrgency(send.tokensToRead()))
                        : OptionalInt.empty();
        wire.writeUpstreamHead(
                copy.headers(),
                new UpstreamHead(
                        send.instance().id(),
                        organisation,
                        remainingMs(nowMs),
                        after,
                        engineUrgency));
        return copy;
    }

    private int engineUrgency(long tokensToRead) {
        return urgencySteps
                .map(s -> s.urgency(tokensToRead))
                .orElseGet(() -> PrefillUrgency.of(tokensToRead).rank());
    }

    /**
     * Creates the head of the request that is forwarded to another VM.
     *
     * @param nowMs the present time in milliseconds
     * @param wire the wire format of the installation
     */
    HttpRequest forwardHead(long nowMs, WireFormat wire) {
        HttpRequest copy = copyOfRequest(wire);
        wire.writeForwardHead(copy.headers(), remainingMs(nowMs));
        return copy;
    }

    private HttpRequest copyOfRequest(WireFormat wire) {
        HttpRequest copy =
                new DefaultHttpRequest(
                        HttpVersion.HTTP_1_1,
                        request.method(),
                        request.uri(),
                        EndToEndHeaders.of(request.headers(), wire));
        if (request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            copy.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        return copy;
    }

    /** Returns how much longer the caller waits, in milliseconds; empty where it does not say. */
    private OptionalLong remainingMs(long nowMs) {
        return head.timeoutMs().isPresent()
                ? OptionalLong.of(Math.max(1, deadlineMs - nowMs))
                : OptionalLong.empty();
    }
}
