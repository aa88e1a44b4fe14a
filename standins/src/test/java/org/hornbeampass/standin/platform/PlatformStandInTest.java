package org.hornbeampass.standin.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;

import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.protocol.platform.PlatformPaths;
import org.hornbeampass.standin.admin.FaultRule;
import org.hornbeampass.standin.admin.TestHttp;
import org.hornbeampass.state.Json;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests {@link PlatformStandIn} over HTTP. */
@Timeout(60)
class PlatformStandInTest {
    private final PlatformStandIn mPlatform =
            PlatformStandIn.start(
                    PlatformSettings.defaults()
                            .withKey("secret")
                            .withVmLagMs(0)
                            .withWeights(new PlatformSettings.Weights(100 << 20, 100_000)));
    private final TestHttp mHttp = new TestHttp().with("authorization", "Bearer secret");

    @AfterEach
    void close() {
        mHttp.close();
        mPlatform.close();
    }

    @Test
    void object_isCreatedReadChangedAndDeletedAtItsVersion() throws Exception {
        long first = json(create("a/b", "{\"x\":1}")).path("version").asLong();

        assertThat(create("a/b", "2").status()).isEqualTo(409);
        assertThat(call("PUT", PlatformPaths.objectAt("a/b", first + 9), "2").status())
                .isEqualTo(409);
        long next =
                json(call("PUT", PlatformPaths.objectAt("a/b", first), "2"))
                        .path("version")
                        .asLong();
        assertThat(next).isGreaterThan(first);
        assertThat(json(read("a/b")).path("value").asText()).isEqualTo("2");
        assertThat(call("DELETE", PlatformPaths.objectAt("a/b", next), "").status()).isEqualTo(200);
        assertThat(read("a/b").status()).isEqualTo(404);
    }

    @Test
    void conflict_carriesTheObjectAsItIs() throws Exception {
        create("k", "1");

        assertThat(json(create("k", "2")).at("/current/value").asText()).isEqualTo("1");
        assertThat(json(call("PUT", PlatformPaths.objectAt("none", 4), "2")).has("current"))
                .isFalse();
    }

    @Test
    void list_givesPagesInOrder() throws Exception {
        create("p/2", "2");
        create("p/1", "1");
        create("q/1", "1");

        JsonNode page = json(call("GET", PlatformPaths.list("p/", "", 1), ""));
        assertThat(page.at("/objects/0/key").asText()).isEqualTo("p/1");
        assertThat(page.path("more").asBoolean()).isTrue();
        JsonNode rest = json(call("GET", PlatformPaths.list("p/", "p/1", 10), ""));
        assertThat(rest.path("objects").size()).isEqualTo(1);
    }

    @Test
    void watch_waitsForAChange() throws Exception {
        TestHttp.Pending watch =
                mHttp.start("GET", mPlatform.uri() + PlatformPaths.watch("w/", 0, 60_000), "");
        while (!counts().contains("\"waitingWatches\":1")) {
            Thread.onSpinWait();
        }
        create("w/1", "1");

        assertThat(json(watch.await()).at("/changes/0/key").asText()).isEqualTo("w/1");
    }

    @Test
    void watch_withoutChange_endsEmpty() throws Exception {
        JsonNode body = json(call("GET", PlatformPaths.watch("w/", 0, 10), ""));

        assertThat(body.path("changes").isEmpty()).isTrue();
    }

    @Test
    void call_withoutKey_isRefused() throws Exception {
        mHttp.with("authorization", "Bearer other");

        assertThat(create("k", "1").status()).isEqualTo(401);
    }

    @Test
    void call_thatIsMalformed_isRefused() throws Exception {
        assertThat(call("PUT", PlatformPaths.object("k"), "1").status()).isEqualTo(400);
        assertThat(create("k", "x".repeat(PlatformCall.MAX_VALUE_BYTES + 1)).status())
                .isEqualTo(413);
    }

    @Test
    void call_beyondTheRate_isThrottled() throws Exception {
        try (PlatformStandIn slow =
                PlatformStandIn.start(
                        PlatformSettings.defaults().withLimits(new CallLimits(1_000, 1)))) {
            String uri = slow.uri() + PlatformPaths.object("k");
            int throttled = 0;
            for (int i = 0; i < 20; i++) {
                throttled += mHttp.call("POST", uri, "1").status() == 429 ? 1 : 0;
            }
            assertThat(throttled).isPositive();
            assertThat(slow.counts().get(PlatformCall.Kind.WRITE))
                    .isEqualTo(new CallMeter.Count(20, throttled));
        }
    }

    @Test
    void outage_refusesWithoutEffectUntilItEnds() throws Exception {
        mPlatform.startOutage(true);
        TestHttp.Answer during = create("k", "1");
        mPlatform.endOutage();

        assertThat(during.failure()).isNotEmpty();
        assertThat(read("k").status()).isEqualTo(404);
    }

    @Test
    void silence_givesNoReplyAndHasNoEffect() throws Exception {
        set("{\"silent\":{\"next\":1}}");
        TestHttp.Pending pending =
                mHttp.start("POST", mPlatform.uri() + PlatformPaths.object("k"), "1");
        while (!mPlatform.plan().faults().struck().containsKey(PlatformFault.SILENT)) {
            Thread.onSpinWait();
        }
        assertThat(read("k").status()).isEqualTo(404);
        pending.cancel();
    }

    @Test
    void loseReply_breaksTheConnectionAfterTheEffect() throws Exception {
        set("{\"lose_reply\":{\"next\":1}}");
        TestHttp.Answer lost = create("k", "1");

        assertThat(lost.status()).isZero();
        assertThat(lost.failure()).contains("sent=true");
        assertThat(json(read("k")).path("value").asText()).isEqualTo("1");
        assertThat(counts()).contains("\"LOSE_REPLY\":1");
    }

    @Test
    void lateEffect_breaksTheConnectionBeforeTheEffect() throws Exception {
        mPlatform.plan().faults().set(PlatformFault.LATE_EFFECT, FaultRule.next(1, 20));

        assertThat(create("k", "1").failure()).contains("sent=true");
        while (read("k").status() != 200) {
            Thread.onSpinWait();
        }
    }

    @Test
    void slow_isAnsweredAllTheSame() throws Exception {
        set("{\"slow\":{\"next\":1,\"amount\":20}}");

        assertThat(create("k", "1").status()).isEqualTo(200);
        assertThat(counts()).contains("\"SLOW\":1");
    }

    @Test
    void throttle_hasNoEffect() throws Exception {
        set("{\"throttle\":{\"probability\":1}}");
        assertThat(create("k", "1").status()).isEqualTo(429);
        mHttp.call("DELETE", mPlatform.uri() + "/admin/faults", "");

        assertThat(read("k").status()).isEqualTo(404);
    }

    @Test
    void vms_followTheAdminsWord() throws Exception {
        call("PUT", "/admin/vms/vm-1", "{\"state\":\"live\"}");
        while (read("vms/vm-1").status() != 200) {
            Thread.onSpinWait();
        }
        assertThat(json(read("vms/vm-1")).path("value").asText()).isEqualTo("{\"state\":\"live\"}");

        call("DELETE", "/admin/vms/vm-1", "");
        while (read("vms/vm-1").status() != 404) {
            Thread.onSpinWait();
        }
    }

    @Test
    void weights_comeWhole() throws Exception {
        TestHttp.Answer answer = call("GET", "/v1/weights/desk@1", "");

        assertThat(answer.failure()).isEmpty();
        assertThat(answer.body()).hasSize(100_000);
        assertThat(json(call("GET", "/admin/counts", "")).at("/downloads/desk@1/finished").asInt())
                .isEqualTo(1);
    }

    private void set(String faults) throws Exception {
        assertThat(call("PUT", "/admin/faults", faults).status()).isEqualTo(200);
    }

    private String counts() throws Exception {
        return call("GET", "/admin/counts", "").body();
    }

    private TestHttp.Answer create(String key, String value) throws Exception {
        return call("POST", PlatformPaths.object(key), value);
    }

    private TestHttp.Answer read(String key) throws Exception {
        return call("GET", PlatformPaths.object(key), "");
    }

    private TestHttp.Answer call(String method, String path, String body) throws Exception {
        return mHttp.call(method, mPlatform.uri() + path, body);
    }

    private static JsonNode json(TestHttp.Answer answer) {
        return Json.decode(answer.body(), JsonNode.class).get();
    }
}
