package org.hornbeampass.state.config;

import com.fasterxml.jackson.annotation.JsonCreator;

import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.ModelId;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.UpstreamId;

import java.util.Objects;
import java.util.Optional;

/**
 * An upstream as operators set it.
 *
 * <p>Invariant: exactly one of {@code model} and {@code service} is present. Immutable; safe for
 * use by any thread.
 *
 * @param id the upstream
 * @param baseUri where it listens, such as {@code http://127.0.0.1:9001}
 * @param model the model that it serves, for a model engine
 * @param service the service's name, for a plain service
 * @param domain its failure domain
 * @param region its region
 * @param checksFencing whether it refuses an order that carries an old fencing number
 * @param maxConcurrent the largest number of requests that one VM has in progress there
 * @param draining whether it gets no new work, since it is about to leave
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

    /** Makes an upstream that gets new work. */
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

    /** Returns the upstream as one that gets no new work. */
    public UpstreamSpec asDraining() {
        return new UpstreamSpec(
                id, baseUri, model, service, domain, region, checksFencing, maxConcurrent, true);
    }
}
