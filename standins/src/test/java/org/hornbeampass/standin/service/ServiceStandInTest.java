package org.hornbeampass.standin.service;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.standin.admin.FaultRule;
import org.hornbeampass.standin.admin.TestHttp;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests {@link ServiceStandIn} over HTTP. */
@Timeout(60)
class ServiceStandInTest {
    private final ServiceStandIn mService = ServiceStandIn.start(ServiceSettings.defaults());
    private final TestHttp mHttp = new TestHttp().with("idempotency-key", "k1");

    @AfterEach
    void close() {
        mHttp.close();
        mService.close();
    }

    @Test
    void append_isExecutedAndReadable() throws Exception {
        assertThat(append().status()).isEqualTo(201);

        assertThat(call("GET", "/v1/records/1").body()).contains("\"body\":\"release\"");
        assertThat(call("GET", "/v1/records/2").status()).isEqualTo(404);
        assertThat(call("GET", "/v1/records/x").status()).isEqualTo(400);
    }

    @Test
    void append_twice_isSeenAsADouble() throws Exception {
        append();
        append();

        assertThat(call("GET", "/admin/verdict").body())
                .contains("\"executed\":2")
                .contains("\"doubledKeys\":{\"k1\":2}");
        assertThat(mService.records().executions("k1")).isEqualTo(2);
    }

    @Test
    void loseReply_executesAndBreaksTheConnection() throws Exception {
        mService.faults().set(ServiceFault.LOSE_REPLY, FaultRule.next(1, 0));

        assertThat(append().failure()).contains("sent=true");
        assertThat(mService.records().executions("k1")).isEqualTo(1);
    }

    @Test
    void errorBeforeEffect_doesNotExecute() throws Exception {
        mService.faults().set(ServiceFault.ERROR_BEFORE_EFFECT, FaultRule.next(1, 0));

        assertThat(append().status()).isEqualTo(500);
        assertThat(mService.records().executions("k1")).isZero();
    }

    @Test
    void refuse_doesNotExecute() throws Exception {
        mService.faults().set(ServiceFault.REFUSE, FaultRule.next(1, 0));

        assertThat(append().failure()).isNotEmpty();
        assertThat(mService.records().executions("k1")).isZero();
    }

    @Test
    void slow_executesAllTheSame() throws Exception {
        mService.faults().set(ServiceFault.SLOW, FaultRule.next(1, 20));

        assertThat(append().status()).isEqualTo(201);
        assertThat(mService.faults().struck()).containsEntry(ServiceFault.SLOW, 1L);
    }

    @Test
    void leaving_refusesWithItsHeader() throws Exception {
        call("POST", "/admin/leaving");

        assertThat(append().headers()).containsEntry("x-hornbeampass-leaving", "true");
        assertThat(mService.records().executions("k1")).isZero();
        call("POST", "/admin/leaving?leaving=false");
        assertThat(append().status()).isEqualTo(201);
    }

    private TestHttp.Answer append() throws Exception {
        return mHttp.call("POST", mService.uri() + "/v1/records", "release");
    }

    private TestHttp.Answer call(String method, String path) throws Exception {
        return mHttp.call(method, mService.uri() + path, "");
    }
}
