package org.hornbeampass.router.admin;

import io.vavr.control.Either;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.UpstreamId;
import org.hornbeampass.state.config.ConfigSnapshot;
import org.hornbeampass.state.config.OrganisationSpec;
import org.hornbeampass.state.config.Template;
import org.hornbeampass.state.config.UpstreamSpec;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiConsumer;

/** A configuration held in memory by a test; for use by one thread. */
final class MemoryConfiguration implements ConfigurationPort {
    private final Map<ConfigObject, Long> mRevisions = new HashMap<>();
    private ConfigSnapshot mSnapshot = ConfigSnapshot.empty();
    private Runnable mBeforePropose = () -> {};
    private Optional<Failure> mOutage = Optional.empty();
    private long mAgeMs;

    /** Runs an action once, just before the next proposal is decided. */
    void beforeNextProposal(Runnable action) {
        mBeforePropose = action;
    }

    /** Lets the platform be unavailable, with this age of what is known. */
    void outage(long ageMs) {
        mAgeMs = ageMs;
        mOutage = Optional.of(Failure.of(ErrorKind.PLATFORM_UNAVAILABLE, "platform is down"));
    }

    @Override
    public ConfigSnapshot snapshot() {
        return mSnapshot;
    }

    @Override
    public long ageMs(long nowMs) {
        return mAgeMs;
    }

    @Override
    public OptionalLong revisionOf(ConfigObject object) {
        Long revision = mRevisions.get(object);
        return revision == null ? OptionalLong.empty() : OptionalLong.of(revision);
    }

    @Override
    public void propose(
            long nowMs,
            ConfigEdit edit,
            OptionalLong expectedRevision,
            BiConsumer<Long, Either<Failure, Long>> done) {
        Runnable before = mBeforePropose;
        mBeforePropose = () -> {};
        before.run();
        if (mOutage.isPresent()) {
            done.accept(nowMs, Either.left(mOutage.get()));
            return;
        }
        long current = revisionOf(edit.object()).orElse(0);
        if (expectedRevision.isPresent() && expectedRevision.getAsLong() != current) {
            done.accept(
                    nowMs,
                    Either.left(
                            Failure.of(ErrorKind.REVISION_CONFLICT, "is at revision " + current)));
            return;
        }
        apply(edit);
        done.accept(nowMs, Either.right(mSnapshot.revision()));
    }

    private void apply(ConfigEdit edit) {
        Map<String, Template> templates = new HashMap<>(mSnapshot.templates());
        Map<OrganisationId, OrganisationSpec> organisations =
                new HashMap<>(mSnapshot.organisations());
        Map<UpstreamId, UpstreamSpec> upstreams = new HashMap<>(mSnapshot.upstreams());
        long revision = mSnapshot.revision() + 1;
        mRevisions.put(edit.object(), revision);
        if (edit instanceof ConfigEdit.PutTemplate put) {
            templates.put(put.template().name(), put.template());
        } else if (edit instanceof ConfigEdit.PutOrganisation put) {
            organisations.put(put.organisation().id(), put.organisation());
        } else if (edit instanceof ConfigEdit.PutUpstream put) {
            upstreams.put(put.upstream().id(), put.upstream());
        } else {
            mRevisions.remove(edit.object());
            templates.remove(edit.object().name());
            organisations.remove(new OrganisationId(edit.object().name()));
            upstreams.remove(new UpstreamId(edit.object().name()));
        }
        mSnapshot = new ConfigSnapshot(revision, templates, organisations, upstreams);
    }
}
