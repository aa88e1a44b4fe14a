package org.hornbeampass.standin.platform;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.protocol.settings.Secret;
import org.hornbeampass.standin.admin.FaultRule;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.http.HttpClient;
import org.hornbeampass.transport.http.NettyHttpClient;
import org.hornbeampass.transport.platform.HttpPlatform;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Tests that the transport's {@link HttpPlatform} and the stand-in understand each other. */
@Timeout(60)
class HttpPlatformTest {
    private final PlatformStandIn mStandIn =
            PlatformStandIn.start(PlatformSettings.defaults().withKey("secret"));
    private final Clock mClock = Clock.monotonic();
    private final HttpClient mClient = NettyHttpClient.create(mClock);
    private final HttpPlatform mPlatform = platform("secret");

    @AfterEach
    void close() {
        mClient.close();
        mStandIn.close();
    }

    @Test
    void calls_areAnsweredAsByAPlatformInMemory() throws Exception {
        PlatformReply created = call(new PlatformCall.Create("a/1", "{\"x\":1}"));
        long version = ((PlatformReply.Written) created).version();
        PlatformReply.StoredObject stored =
                new PlatformReply.StoredObject("a/1", "{\"x\":1}", version);

        assertThat(call(new PlatformCall.Get("a/1"))).isEqualTo(new PlatformReply.Found(stored));
        assertThat(call(new PlatformCall.Get("a/2"))).isEqualTo(new PlatformReply.Missing());
        assertThat(call(new PlatformCall.Create("a/1", "2")))
                .isEqualTo(new PlatformReply.Conflict(Optional.of(stored)));
        assertThat(call(new PlatformCall.ListObjects("a/", "", 10)))
                .isEqualTo(new PlatformReply.Listed(List.of(stored), false, version));
        assertThat(call(new PlatformCall.Delete("a/1", version)))
                .isEqualTo(new PlatformReply.Written(version + 1));
        assertThat(call(new PlatformCall.Update("a/1", "3", version)))
                .isEqualTo(new PlatformReply.Conflict(Optional.empty()));
    }

    @Test
    void watch_tellsChangesAndDeletions() throws Exception {
        PlatformReply created = call(new PlatformCall.Create("a/1", "1"));
        long version = ((PlatformReply.Written) created).version();
        call(new PlatformCall.Delete("a/1", version));

        assertThat(call(new PlatformCall.Watch("a/", 0, Duration.ofSeconds(30))))
                .isEqualTo(
                        new PlatformReply.Changed(
                                List.of(
                                        new PlatformReply.Change("a/1", Optional.of("1"), version),
                                        new PlatformReply.Change(
                                                "a/1", Optional.empty(), version + 1)),
                                version + 1));
    }

    @Test
    void faults_areToldAsTheContractSays() throws Exception {
        mStandIn.plan().faults().set(PlatformFault.THROTTLE, FaultRule.next(1, 0));
        assertThat(call(new PlatformCall.Create("k", "1")))
                .isInstanceOf(PlatformReply.Throttled.class);

        mStandIn.plan().faults().set(PlatformFault.LOSE_REPLY, FaultRule.next(1, 0));
        assertThat(call(new PlatformCall.Create("k", "1")))
                .isInstanceOf(PlatformReply.Unavailable.class);
        assertThat(call(new PlatformCall.Get("k"))).isInstanceOf(PlatformReply.Found.class);
    }

    @Test
    void wrongKey_isUnavailable() throws Exception {
        assertThat(call(platform("other"), new PlatformCall.Create("k", "1")))
                .isInstanceOf(PlatformReply.Unavailable.class);
        assertThat(call(new PlatformCall.Get("k"))).isInstanceOf(PlatformReply.Missing.class);
    }

    private HttpPlatform platform(String key) {
        return new HttpPlatform(
                mClient,
                new org.hornbeampass.transport.platform.PlatformSettings(
                        List.of(URI.create(mStandIn.uri())), Secret.of(key), 5_000, 20_000),
                mClock);
    }

    private PlatformReply call(PlatformCall call) throws Exception {
        return call(mPlatform, call);
    }

    private PlatformReply call(HttpPlatform platform, PlatformCall call) throws Exception {
        CompletableFuture<PlatformReply> reply = new CompletableFuture<>();
        platform.submit(mClock.nowMs(), call, (at, r) -> reply.complete(r));
        return reply.get();
    }
}
