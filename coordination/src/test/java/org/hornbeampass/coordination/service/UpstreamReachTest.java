package org.hornbeampass.coordination.service;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;

/** Tests when a VM concludes that its links to the upstreams are lost. */
class UpstreamReachTest {
    private static final int UPSTREAMS = 12;
    private static final String MODEL = "model";
    private static final String DESK = "desk";

    private final UpstreamReach mReach = new UpstreamReach();

    private void fail(long nowMs, String service, String address) {
        mReach.onUnreachable(nowMs, service, address, UPSTREAMS);
    }

    @Test
    void linkListener_isNotifiedOfOpenedAndOfUnreachableUpstreams() {
        List<String> links = new ArrayList<>();
        mReach.addLinkListener(
                new UpstreamReach.LinkListener() {
                    @Override
                    public void onOpened(long nowMs, boolean wasCutOff) {
                        links.add(nowMs + " opened, cut off: " + wasCutOff);
                    }

                    @Override
                    public void onUnreachable(long nowMs, String address) {
                        links.add(nowMs + " unreachable: " + address);
                    }
                });
        fail(1, MODEL, "a:1");
        mReach.onOpened(2, MODEL);
        assertThat(links).containsExactly("1 unreachable: a:1", "2 opened, cut off: false");
    }

    @Test
    void threeDifferentUpstreamsUnreachable_areALoss() {
        fail(0, MODEL, "a:1");
        fail(100, MODEL, "b:1");
        assertThat(mReach.isLost(MODEL)).isFalse();
        fail(200, MODEL, "c:1");
        assertThat(mReach.isLost(MODEL)).isTrue();
        assertThat(mReach.isCutOff()).isTrue();
    }

    @Test
    void oneUpstreamUnreachableManyTimes_isNoLoss() {
        for (int i = 0; i < 10; i++) {
            fail(i * 100L, MODEL, "a:1");
        }
        assertThat(mReach.isLost(MODEL)).isFalse();
    }

    @Test
    void openedConnectionInBetween_isNoLoss() {
        fail(0, MODEL, "a:1");
        fail(100, MODEL, "b:1");
        mReach.onOpened(150, MODEL);
        fail(200, MODEL, "c:1");
        assertThat(mReach.isLost(MODEL)).isFalse();
    }

    @Test
    void failuresFarApart_areNoLoss() {
        fail(0, MODEL, "a:1");
        fail(2_000, MODEL, "b:1");
        fail(4_000, MODEL, "c:1");
        assertThat(mReach.isLost(MODEL)).isFalse();
    }

    @Test
    void oneServiceLost_leavesTheOthers() {
        fail(0, DESK, "a:1");
        fail(100, DESK, "b:1");
        mReach.onOpened(150, MODEL);
        fail(200, DESK, "c:1");
        assertThat(mReach.lostServices()).containsExactly(DESK);
        assertThat(mReach.isLost(MODEL)).isFalse();
        assertThat(mReach.isCutOff()).isFalse();
        mReach.onOpened(250, MODEL);
        assertThat(mReach.isLost(DESK)).isTrue();
    }

    @Test
    void serviceWithFewUpstreams_isLostWithAllOfThem() {
        mReach.onUnreachable(0, DESK, "a:1", 2);
        assertThat(mReach.isLost(DESK)).isFalse();
        mReach.onUnreachable(0, DESK, "b:1", 2);
        assertThat(mReach.isLost(DESK)).isTrue();
        assertThat(mReach.isCutOff()).isFalse();
    }

    @Test
    void openedConnection_endsTheLoss() {
        mReach.onUnreachable(0, DESK, "a:1", 1);
        assertThat(mReach.isLost(DESK)).isTrue();
        mReach.onOpened(500, DESK);
        assertThat(mReach.isLost(DESK)).isFalse();
        assertThat(mReach.hasOpenedSince(500)).isTrue();
        assertThat(mReach.hasOpenedSince(501)).isFalse();
    }

    @Test
    void serviceWhoseUpstreamsAreGone_isNotLostForEver() {
        mReach.onUnreachable(0, DESK, "a:1", 1);
        mReach.onNoUpstreams(DESK);
        assertThat(mReach.lostServices()).isEmpty();
    }
}
