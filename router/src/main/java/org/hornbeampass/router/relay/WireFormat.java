package org.hornbeampass.router.relay;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.vavr.control.Either;

import org.hornbeampass.state.Failure;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.service.FleetConfig;
import org.hornbeampass.state.service.UpstreamEntry;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Translates between the headers and documents of an installation and the types of the router. It
 * makes no decisions.
 *
 * <p>Implementations are stateless and safe for use by any thread.
 */
public interface WireFormat {
    /** Reads the head of a caller's request. */
    Either<Failure, CallerHead> readHead(HttpRequest head);

    /**
     * Returns whether a header of the installation is passed on by each hop, also where a message
     * states that it concerns one connection alone.
     *
     * @param name the header's name in lower case
     */
    boolean isForAllHops(String name);

    /**
     * Changes a caller's headers into those that are sent to an upstream.
     *
     * @param headers the caller's headers, which are changed in place
     * @param head what the upstream is told in addition
     */
    void writeUpstreamHead(HttpHeaders headers, UpstreamHead head);

    /**
     * Changes a caller's headers into those that are sent to another VM, which must not forward the
     * request again.
     *
     * @param headers the caller's headers, which are changed in place
     * @param remainingMs how much longer the caller waits, in milliseconds
     */
    void writeForwardHead(HttpHeaders headers, OptionalLong remainingMs);

    /**
     * Reads the head of an upstream's answer.
     *
     * @param answer the head of the answer
     * @param requestId the caller's id of the request that is in flight
     */
    AnswerHead readAnswer(HttpResponse answer, String requestId);

    /** Returns the id of the request that an upstream's answer bears; empty if it bears none. */
    Optional<String> answerId(HttpResponse answer);

    /**
     * Returns the JSON body that lists addresses of VMs.
     *
     * @param addresses the addresses
     * @param keepSeconds for how long a caller may keep the list, in seconds
     */
    String addresses(List<InetSocketAddress> addresses, double keepSeconds);

    /** Reads a request for the addresses of VMs; empty if it is not one. */
    Optional<AddressRequest> readAddressRequest(HttpRequest head);

    /** Returns whether a request asks if this VM accepts requests. */
    boolean asksForReadiness(HttpRequest head);

    /** Returns the prefix of the store keys under which the configuration is stored. */
    String configPrefix();

    /** Returns the store key of the configuration. */
    String configKey();

    /** Reads a configuration from its JSON text. */
    Either<Failure, FleetConfig> readConfig(String json);

    /** Returns the prefix of the store keys under which upstreams register themselves. */
    String upstreamPrefix();

    /** Returns the prefix of the store keys under which operators evacuate failure domains. */
    String evacuationPrefix();

    /** Returns the failure domain that the entry at a store key evacuates. */
    FailureDomain readEvacuation(String key);

    /** Reads the entry of an upstream from its store key and JSON text. */
    Either<Failure, UpstreamEntry> readUpstream(String key, String json);
}
