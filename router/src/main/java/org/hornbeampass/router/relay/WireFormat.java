package org.hornbeampass.router.relay;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.vavr.control.Either;

import org.hornbeampass.state.Failure;
import org.hornbeampass.state.service.FleetConfig;
import org.hornbeampass.state.service.UpstreamEntry;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Translates between the words of an installation and the product's types; decides nothing.
 *
 * <p>Implementations are stateless and safe for use by any thread.
 */
public interface WireFormat {
    /** Reads the head of a caller's request. */
    Either<Failure, CallerHead> readHead(HttpRequest head);

    /**
     * Turns a caller's headers into those that an upstream gets.
     *
     * @param headers the caller's headers, which are changed
     * @param head what the upstream is told besides
     */
    void writeUpstreamHead(HttpHeaders headers, UpstreamHead head);

    /**
     * Reads the head of an upstream's answer.
     *
     * @param answer the head
     * @param requestId the caller's name of the request that is in progress
     */
    AnswerHead readAnswer(HttpResponse answer, String requestId);

    /** Returns the body of an answer about addresses, in JSON. */
    String addresses(List<InetSocketAddress> addresses, double keepSeconds);

    /** Returns whether a request asks for the addresses of VMs. */
    boolean asksForAddresses(HttpRequest head);

    /** Returns whether a request asks if this VM takes requests. */
    boolean asksForReadiness(HttpRequest head);

    /** Returns the prefix of the keys under which the configuration lies. */
    String configPrefix();

    /** Returns the key of the configuration. */
    String configKey();

    /** Reads a configuration. */
    Either<Failure, FleetConfig> readConfig(String json);

    /** Returns the prefix of the keys under which upstreams register themselves. */
    String upstreamPrefix();

    /** Reads the entry of an upstream, given its key. */
    Either<Failure, UpstreamEntry> readUpstream(String key, String json);
}
