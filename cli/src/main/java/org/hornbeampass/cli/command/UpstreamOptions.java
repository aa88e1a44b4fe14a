package org.hornbeampass.cli.command;

import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.ModelId;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.UpstreamId;
import org.hornbeampass.state.config.UpstreamSpec;

import picocli.CommandLine.Option;

import java.util.Optional;

/**
 * The options that set parts of an upstream.
 *
 * <p>For use by one thread.
 */
final class UpstreamOptions {
    private static final int DEFAULT_MAX_CONCURRENT = 256;

    @Option(
            names = "--uri",
            paramLabel = "URI",
            description = "Where it listens, such as http://127.0.0.1:9001.")
    private String mUri;

    @Option(names = "--model", paramLabel = "MODEL", description = "The model that it serves.")
    private String mModel;

    @Option(
            names = "--service",
            paramLabel = "NAME",
            description = "The plain service that it is an instance of.")
    private String mService;

    @Option(names = "--domain", paramLabel = "NAME", description = "Its failure domain.")
    private String mDomain;

    @Option(names = "--region", paramLabel = "NAME", description = "Its region.")
    private String mRegion;

    @Option(
            names = "--checks-fencing",
            arity = "1",
            paramLabel = "BOOLEAN",
            description = "Whether it refuses orders with an old fencing number (true or false).")
    private Boolean mChecksFencing;

    @Option(
            names = "--max-concurrent",
            paramLabel = "N",
            description = "Requests that one VM has in progress there.")
    private Integer mMaxConcurrent;

    @Option(
            names = "--draining",
            arity = "1",
            paramLabel = "BOOLEAN",
            description = "Whether it gets no new work (true or false).")
    private Boolean mDraining;

    /** Returns what is missing for a new upstream. */
    Optional<String> missing() {
        if (mUri == null || mDomain == null || mRegion == null) {
            return Optional.of("--uri, --domain and --region are needed");
        }
        return (mModel == null) == (mService == null)
                ? Optional.of("give exactly one of --model and --service")
                : Optional.empty();
    }

    /** Returns a new upstream; {@link #missing} is empty. */
    UpstreamSpec made(String id) {
        return new UpstreamSpec(
                new UpstreamId(id),
                mUri,
                Optional.ofNullable(mModel).map(ModelId::new),
                Optional.ofNullable(mService),
                new FailureDomain(mDomain),
                new Region(mRegion),
                mChecksFencing != null && mChecksFencing,
                mMaxConcurrent == null ? DEFAULT_MAX_CONCURRENT : mMaxConcurrent,
                mDraining != null && mDraining);
    }

    /** Returns an upstream with the options put in. */
    UpstreamSpec changed(UpstreamSpec base) {
        boolean other = mModel != null || mService != null;
        return new UpstreamSpec(
                base.id(),
                mUri == null ? base.baseUri() : mUri,
                other ? Optional.ofNullable(mModel).map(ModelId::new) : base.model(),
                other ? Optional.ofNullable(mService) : base.service(),
                mDomain == null ? base.domain() : new FailureDomain(mDomain),
                mRegion == null ? base.region() : new Region(mRegion),
                mChecksFencing == null ? base.checksFencing() : mChecksFencing,
                mMaxConcurrent == null ? base.maxConcurrent() : mMaxConcurrent,
                mDraining == null ? base.draining() : mDraining);
    }
}
