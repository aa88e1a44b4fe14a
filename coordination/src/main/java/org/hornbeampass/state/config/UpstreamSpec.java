package org.hornbeampass.state.config;

import com.fasterxml.jackson.annotation.JsonCreator;

import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.ModelId;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.UpstreamId;

import java.util.Objects;
import java.util.Optional;

/**
 * The configuration of an upstream as operators set it.
 *
 * <p>Invariant: exactly one of {@code model} and {@code service} is present. Immutable; safe for
 * use by any thread.
 *
 * @param id the upstream
 * @param baseUri the base URI of its API, such as {@code http://127.0.0.1:9001}
 * @param model the model that it serves, if it is a model engine
 * @param service the name of the service, if it is a plain service
 * @param domain its failure domain
 * @param region its region
 * @param checksFencing whether it rejects orders with an outdated fencing number
 * @param maxConcurrent the maximum number of concurrent requests of one VM to the upstream
 * @param draining whether it receives no new requests because it is being removed
 */
public record UpstreamSpec(
        UpstreamId id,
        String baseUri,
        Optional<ModelId> model,
        Optional<String> service,
        FailureDomain domain,
        Region region,
        boolean checksFencing,
        int maxConcurrent,
        boolean draining) {
    /** Checks the invariant. */
    @JsonCreator
    public UpstreamSpec {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(baseUri, "baseUri");
        Objects.requireNonNull(domain, "domain");
        Objects.requireNonNull(region, "region");
        if (model.isPresent() == service.isPresent()) {
            throw new IllegalArgumentException(
                    "upstream " + id + " must name exactly one of model and service");
        }
    }

    /** Creates an upstream that is not draining. */
    public UpstreamSpec(
            UpstreamId id,
            String baseUri,
            Optional<ModelId> model,
            Optional<String> service,
            FailureDomain domain,
            Region region,
            boolean checksFencing,
            int maxConcurrent) {
        this(id, baseUri, model, service, domain, region, checksFencing, maxConcurrent, false);
    }

    /** Returns a copy that is draining. */
    public UpstreamSpec asDraining() {
        return new UpstreamSpec(
                id, baseUri, model, service, domain, region, checksFencing, maxConcurrent, true);
    }
}
