package org.hornbeampass.standin.platform;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.coordination.platform.MemoryPlatform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.standin.admin.TimedActions;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;

/** Tests {@link VmDirectory}. */
class VmDirectoryTest {
    private final MemoryPlatform mPlatform = new MemoryPlatform();
    private final TimedActions mActions = new TimedActions();
    private final VmDirectory mVms = new VmDirectory(mPlatform, mActions, 100);

    @Test
    void register_isSeenAfterTheLag() {
        mVms.register(0, "vm-1", "\"live\"");

        assertThat(listAt(99)).isEmpty();
        assertThat(listAt(100)).containsExactly("vms/vm-1 \"live\"");
        assertThat(mVms.truth()).containsOnlyKeys("vm-1");
    }

    @Test
    void changeAndRemoval_areSeenAfterTheLagInOrder() {
        mVms.register(0, "vm-1", "\"live\"");
        mVms.register(10, "vm-1", "\"leaving\"");
        mVms.remove(20, "vm-1");

        assertThat(listAt(105)).containsExactly("vms/vm-1 \"live\"");
        assertThat(listAt(110)).containsExactly("vms/vm-1 \"leaving\"");
        assertThat(listAt(120)).isEmpty();
    }

    @Test
    void remove_ofUnknownVm_changesNothing() {
        mVms.remove(0, "vm-9");

        assertThat(listAt(100)).isEmpty();
    }

    private List<String> listAt(long nowMs) {
        mActions.runDue(nowMs);
        List<String> seen = new ArrayList<>();
        mPlatform.submit(
                nowMs,
                new PlatformCall.ListObjects("vms/", "", 100),
                (at, reply) ->
                        ((PlatformReply.Listed) reply)
                                .objects()
                                .forEach(o -> seen.add(o.key() + " " + o.value())));
        return seen;
    }
}
