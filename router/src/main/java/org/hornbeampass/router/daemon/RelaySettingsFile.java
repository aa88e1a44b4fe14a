package org.hornbeampass.router.daemon;

import io.vavr.control.Either;

import org.hornbeampass.coordination.admission.AdmissionSettings;
import org.hornbeampass.coordination.capacity.VmCapacity;
import org.hornbeampass.coordination.ratelimit.SlowStartBounds;
import org.hornbeampass.protocol.settings.Faults;
import org.hornbeampass.protocol.settings.Secret;
import org.hornbeampass.protocol.settings.SettingsNode;
import org.hornbeampass.protocol.settings.SettingsReader;
import org.hornbeampass.router.relay.RelaySettings;
import org.hornbeampass.state.DomainRegions;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.Region;
import org.hornbeampass.transport.UpstreamLimits;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;

/**
 * Reads a relay daemon's settings from JSON with comments.
 *
 * <p>All faults are reported at once, each with its location and a way to correct it. Stateless;
 * safe for use by any thread.
 */
public final class RelaySettingsFile {
    private static final long SECOND_MS = 1_000;
    private static final long HOUR_MS = 3_600_000;

    /** The least bound on held bytes: a few large bodies that are kept for another send. */
    private static final long MIN_BUFFER_BYTES = 1 << 20;

    private static final long MAX_BUFFER_BYTES = 1L << 40;

    /** The region of one failure domain. */
    private record DomainRegion(FailureDomain domain, Region region) {}

    private RelaySettingsFile() {}

    /**
     * Parses settings.
     *
     * @param source the name of the text in messages
     * @param text the settings, JSON with comments
     */
    public static Either<Faults, RelayDaemonSettings> read(String source, String text) {
        return SettingsReader.read(source, text, RelaySettingsFile::settings);
    }

    private static RelayDaemonSettings settings(SettingsNode node) {
        List<InetSocketAddress> seeds =
                node.optionalStrings("seeds").stream()
                        .map(PeerAddresses::parse)
                        .flatMap(Optional::stream)
                        .toList();
        return new RelayDaemonSettings(
                node.requiredString("name"),
                new Region(node.requiredString("region")),
                new FailureDomain(node.requiredString("failure_domain")),
                listen(node.requiredNode("listen")),
                node.requiredUri("platform"),
                Secret.of(node.requiredString("cluster_key")),
                seeds,
                relay(node),
                node.optionalDuration("grace", 8 * SECOND_MS, 0, HOUR_MS),
                node.optionalDuration("keep_addresses", 2 * SECOND_MS, 1, HOUR_MS),
                domains(node),
                node.optionalDuration("upstream_heartbeat", SECOND_MS, 1, HOUR_MS),
                node.optionalInt("budget_shards", 4, 1, 4_096),
                node.optionalBoolean("watch_evacuations", true),
                load(node));
    }

    private static LoadSettings load(SettingsNode node) {
        return new LoadSettings(
                node.optionalNode("capacity").map(RelaySettingsFile::capacity),
                node.optionalNode("admission").map(RelaySettingsFile::admission),
                node.optionalNode("routing").map(RelaySettingsFile::routing),
                node.optionalNode("upstream_limits")
                        .map(RelaySettingsFile::upstreamLimits)
                        .orElse(UpstreamLimits.DEFAULT),
                node.optionalBoolean("refuse_by_backlog", false),
                pausesIntake(node),
                node.optionalLong("buffer_bytes", 0, MIN_BUFFER_BYTES, MAX_BUFFER_BYTES));
    }

    /** Returns whether the intake pauses: always, or in installations with a certain feature. */
    private static boolean pausesIntake(SettingsNode node) {
        List<String> features = node.optionalStrings("features");
        boolean featured =
                node.optionalString("pause_intake_feature").filter(features::contains).isPresent();
        return node.optionalBoolean("pause_intake", false) || featured;
    }

    private static VmCapacity capacity(SettingsNode node) {
        double share = node.optionalDouble("processor_share", 1, 0.01, 1);
        double cores = node.optionalDouble("processor_cores", 1, 0.01, 1_024);
        return new VmCapacity(
                share * cores,
                node.optionalDouble("link_mbps", 1_000, 0.1, 1_000_000),
                node.optionalLong("memory_mb", 256, 16, 1_048_576));
    }

    private static AdmissionSettings admission(SettingsNode node) {
        return new AdmissionSettings(
                node.optionalDouble("max_wait_share", 0.5, 0, 1),
                node.optionalInt("max_waiting", 200, 0, 10_000));
    }

    private static LoadSettings.Routing routing(SettingsNode node) {
        return new LoadSettings.Routing(node.optionalDouble("cross_domain_ms", 0, 0, 10_000));
    }

    private static UpstreamLimits upstreamLimits(SettingsNode node) {
        UpstreamLimits defaults = UpstreamLimits.DEFAULT;
        return new UpstreamLimits(
                node.optionalInt("head_bytes", defaults.headBytes(), 4 << 10, 1 << 20),
                node.optionalInt(
                        "informational_answers", defaults.informationalAnswers(), 0, 1_000),
                node.optionalInt("event_bytes", defaults.eventBytes(), 1 << 10, 1 << 20),
                node.optionalInt("silent_bytes", defaults.silentBytes(), 1 << 10, 1 << 20));
    }

    private static RelayDaemonSettings.Listen listen(SettingsNode node) {
        return new RelayDaemonSettings.Listen(
                node.requiredAddress("callers"),
                node.requiredAddress("directory"),
                node.requiredAddress("readiness"),
                node.requiredAddress("peers"),
                node.optionalAddress("metrics"));
    }

    /** Reads the regions of all failure domains, to which the VM's own one is added. */
    private static DomainRegions domains(SettingsNode node) {
        List<DomainRegion> listed =
                node.list(
                        "domains",
                        n ->
                                new DomainRegion(
                                        new FailureDomain(n.requiredString("name")),
                                        new Region(n.requiredString("region"))));
        DomainRegions regions =
                DomainRegions.NONE.with(
                        new FailureDomain(node.requiredString("failure_domain")),
                        new Region(node.requiredString("region")));
        for (DomainRegion each : listed) {
            regions = regions.with(each.domain(), each.region());
        }
        return regions;
    }

    private static RelaySettings relay(SettingsNode node) {
        SettingsNode retries = node.requiredNode("retries");
        return new RelaySettings(
                retries.optionalDouble("ratio", 0.1, 0, 10),
                retries.optionalDouble("extra", 10, 0, 1_000_000),
                retries.optionalDuration("window", 10 * SECOND_MS, 1, HOUR_MS),
                node.optionalNode("slow_start")
                        .map(RelaySettingsFile::slowStart)
                        .orElse(SlowStartBounds.DEFAULT));
    }

    private static SlowStartBounds slowStart(SettingsNode node) {
        SlowStartBounds defaults = SlowStartBounds.DEFAULT;
        return new SlowStartBounds(
                node.optionalDouble("excess", defaults.excess(), 0, 1_000),
                node.optionalDouble("extra", defaults.extra(), 0, 1_000_000));
    }
}
