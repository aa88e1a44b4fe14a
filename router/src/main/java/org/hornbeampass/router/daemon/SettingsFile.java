package org.hornbeampass.router.daemon;

import io.vavr.control.Either;

import org.hornbeampass.coordination.membership.Seed;
import org.hornbeampass.coordination.platform.CallLimits;
import org.hornbeampass.coordination.slo.Objectives;
import org.hornbeampass.protocol.openai.ChatLimits;
import org.hornbeampass.protocol.settings.Faults;
import org.hornbeampass.protocol.settings.Secret;
import org.hornbeampass.protocol.settings.SettingsNode;
import org.hornbeampass.protocol.settings.SettingsReader;
import org.hornbeampass.router.admin.OperatorKey;
import org.hornbeampass.router.front.RequestLimits;
import org.hornbeampass.router.serve.ServeSettings;
import org.hornbeampass.router.upstream.UpstreamSettings;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.Region;
import org.hornbeampass.transport.platform.PlatformSettings;
import org.hornbeampass.transport.tls.TlsFiles;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Reads a router's settings from JSON with comments.
 *
 * <p>All faults are reported at once, each with its location and a way to correct it. Stateless;
 * safe for use by any thread.
 */
public final class SettingsFile {
    private static final long SECOND_MS = 1_000;
    private static final long HOUR_MS = 3_600_000;
    private static final long MIN_SECRET_CHARS = 16;

    private SettingsFile() {}

    /**
     * Parses settings.
     *
     * @param source the name of the text in messages
     * @param text the settings, JSON with comments
     */
    public static Either<Faults, RouterSettings> read(String source, String text) {
        return SettingsReader.read(source, text, SettingsFile::settings);
    }

    /** Reads optional fields first, so that a fault elsewhere does not make them appear unknown. */
    private static RouterSettings settings(SettingsNode node) {
        CallLimits calls =
                node.optionalNode("platform_calls")
                        .map(SettingsFile::callLimits)
                        .orElse(new CallLimits(250, 50, 10, 1, 2_000));
        RouterSettings.Limits limits =
                node.optionalNode("limits")
                        .map(SettingsFile::limits)
                        .orElseGet(RouterSettings.Limits::defaults);
        RouterSettings.Execution execution =
                new RouterSettings.Execution(
                        node.optionalInt("workers", defaultWorkers(), 1, 256), maxDrain(node));
        Objectives objectives =
                node.optionalNode("objectives")
                        .map(ObjectivesSettings::read)
                        .orElseGet(Objectives::defaults);
        List<Seed> seeds = node.list("seeds", SettingsFile::seed);
        return new RouterSettings(
                place(node),
                listen(node.requiredNode("listen")),
                keys(node.requiredNode("keys")),
                platform(node.requiredNode("platform")),
                calls,
                seeds,
                limits,
                execution,
                objectives);
    }

    private static int defaultWorkers() {
        return Math.max(2, Math.min(8, Runtime.getRuntime().availableProcessors()));
    }

    private static RouterSettings.Place place(SettingsNode node) {
        long incarnation = node.optionalLong("incarnation", 0, 0, Long.MAX_VALUE);
        return new RouterSettings.Place(
                node.requiredString("name"),
                incarnation == 0 ? OptionalLong.empty() : OptionalLong.of(incarnation),
                new Region(node.requiredString("region")),
                new FailureDomain(node.requiredString("failure_domain")));
    }

    private static RouterSettings.Listen listen(SettingsNode node) {
        InetSocketAddress callers = node.requiredAddress("callers");
        InetSocketAddress operators = node.requiredAddress("operators");
        InetSocketAddress peers = node.requiredAddress("peers");
        return new RouterSettings.Listen(
                callers,
                operators,
                peers,
                node.optionalString("advertised_callers"),
                node.optionalString("advertised_peers"),
                node.optionalNode("tls").map(SettingsFile::tls),
                node.optionalNode("peer_tls").map(SettingsFile::tls));
    }

    private static TlsFiles tls(SettingsNode node) {
        return new TlsFiles(
                node.optionalFile("certificate"),
                node.optionalFile("key"),
                node.optionalFile("trusted"));
    }

    private static RouterSettings.Keys keys(SettingsNode node) {
        return new RouterSettings.Keys(
                secret(node, "cluster"), node.list("operators", SettingsFile::operator));
    }

    /**
     * Reads a key that is given directly as {@code NAME}, or as the path of a file in {@code
     * NAME_file}.
     */
    private static Secret secret(SettingsNode node, String name) {
        Optional<Path> file = node.optionalFile(name + "_file");
        String text =
                file.isPresent()
                        ? fileText(node, name + "_file", file.get())
                        : node.requiredString(name);
        if (text.length() < MIN_SECRET_CHARS) {
            node.fault(
                    name,
                    "the key is shorter than " + MIN_SECRET_CHARS + " characters",
                    "use a longer one");
        }
        return Secret.of(text);
    }

    private static String fileText(SettingsNode node, String name, Path file) {
        try {
            return Files.readString(file).strip();
        } catch (IOException e) {
            node.fault(name, "the file can't be read", "check its path and permissions");
            return "";
        }
    }

    private static OperatorKey operator(SettingsNode node) {
        String hash = node.requiredString("sha256");
        if (!hash.matches("[0-9a-f]{64}")) {
            node.fault(
                    "sha256",
                    "it is not a SHA-256 hash in lower-case hex",
                    "write its 64 hex digits");
        }
        return new OperatorKey(node.requiredString("name"), hash);
    }

    private static PlatformSettings platform(SettingsNode node) {
        return new PlatformSettings(
                node.requiredUris("addresses"),
                secret(node, "key"),
                node.optionalDuration("connect_timeout", SECOND_MS, 10, 60 * SECOND_MS),
                node.optionalDuration("call_timeout", 5 * SECOND_MS, 10, 60 * SECOND_MS));
    }

    private static CallLimits callLimits(SettingsNode node) {
        return new CallLimits(
                node.optionalDouble("reads_per_second", 250, 0.1, 100_000),
                node.optionalDouble("writes_per_second", 50, 0.1, 100_000),
                node.optionalDouble("watches_per_second", 10, 0.1, 100_000),
                node.optionalDouble("burst_seconds", 1, 0.1, 60),
                node.optionalInt("max_queued", 2_000, 1, 1_000_000));
    }

    private static Seed seed(SettingsNode node) {
        InetSocketAddress address = node.requiredAddress("address");
        String host = address.getAddress().getHostAddress();
        String shown = host.contains(":") ? "[" + host + "]" : host;
        return new Seed(node.requiredString("name"), shown + ":" + address.getPort());
    }

    private static RouterSettings.Limits limits(SettingsNode node) {
        ChatLimits chat = ChatLimits.defaults();
        UpstreamSettings upstream = UpstreamSettings.defaults();
        ServeSettings serve = ServeSettings.defaults();
        return new RouterSettings.Limits(
                new RequestLimits(
                        new ChatLimits(
                                (int)
                                        node.optionalSize(
                                                "max_body", chat.maxBodyBytes(), 1024, 8 << 20),
                                node.optionalInt("max_nesting", chat.maxNesting(), 4, 200),
                                node.optionalInt("max_messages", chat.maxMessages(), 1, 100_000),
                                chat.maxNameChars()),
                        node.optionalDuration("default_deadline", 300 * SECOND_MS, 1, 24 * HOUR_MS),
                        node.optionalDuration("max_deadline", HOUR_MS, 1, 24 * HOUR_MS)),
                new UpstreamSettings(
                        node.optionalDuration(
                                "upstream_connect_timeout",
                                upstream.connectTimeoutMs(),
                                1,
                                HOUR_MS),
                        node.optionalDuration(
                                "upstream_idle_timeout", upstream.idleTimeoutMs(), 1, HOUR_MS),
                        (int)
                                node.optionalSize(
                                        "max_event", upstream.maxEventBytes(), 1024, 16 << 20),
                        (int)
                                node.optionalSize(
                                        "max_answer", upstream.maxAnswerBytes(), 1024, 1 << 30)),
                new ServeSettings(
                        node.optionalDuration("grant_wait", serve.grantWaitMs(), 0, HOUR_MS),
                        node.optionalDuration("bill_wait", serve.billWaitMs(), 1, HOUR_MS),
                        node.optionalInt("max_waiting", serve.maxWaiting(), 0, 1_000_000)));
    }

    private static OptionalLong maxDrain(SettingsNode node) {
        long ms = node.optionalDuration("max_drain", 0, 0, 24 * HOUR_MS);
        return ms == 0 ? OptionalLong.empty() : OptionalLong.of(ms);
    }

    /** Returns the names of the operators whose keys are configured, for the start message. */
    static List<String> operatorNames(RouterSettings settings) {
        return settings.keys().operators().stream().map(OperatorKey::name).toList();
    }
}
