package org.hornbeampass.coordination.address;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.member.Member;
import org.hornbeampass.state.member.MemberState;
import org.hornbeampass.state.member.MembershipView;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;

/** Guards against answers that name VMs which ended long ago. */
class AnswerableMembersTest {
    private static final int VMS = 8;
    private static final long MAX_UNREACHABLE_MS = 1_500;

    private final AnswerableMembers mMembers = new AnswerableMembers(MAX_UNREACHABLE_MS);

    private static MembershipView view(int live, MemberState others) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < VMS; i++) {
            members.add(
                    new Member(
                            new VmId("vm-" + i, 1),
                            "10.0.0." + i + ":80",
                            "10.0.0." + i + ":81",
                            new Region("r"),
                            new FailureDomain("d"),
                            i < live ? MemberState.LIVE : others));
        }
        return new MembershipView(new VmId("vm-0", 1), members);
    }

    private int named(long nowMs, MembershipView view, boolean platformAnswers) {
        mMembers.update(nowMs, view);
        return mMembers.select(nowMs, view, platformAnswers).size();
    }

    @Test
    void goneVms_areNotNamedWhileMostAreUp() {
        assertThat(named(0, view(5, MemberState.GONE), true)).isEqualTo(5);
    }

    @Test
    void mostVmsGone_areNamedOnlyForAShortTimeWhereThePlatformAnswers() {
        assertThat(named(0, view(1, MemberState.SUSPECT), true)).isEqualTo(VMS);
        assertThat(named(1_000, view(1, MemberState.GONE), true)).isEqualTo(VMS);
        assertThat(named(MAX_UNREACHABLE_MS, view(1, MemberState.GONE), true)).isEqualTo(1);
    }

    @Test
    void vmThatIsCutOffFromAll_namesTheOthers() {
        assertThat(named(0, view(1, MemberState.GONE), false)).isEqualTo(VMS);
        assertThat(named(60_000, view(1, MemberState.GONE), false)).isEqualTo(VMS);
    }

    @Test
    void leavingVms_areNeverNamed() {
        assertThat(named(0, view(1, MemberState.LEAVING), true)).isEqualTo(1);
        assertThat(named(0, view(1, MemberState.LEAVING), false)).isEqualTo(1);
    }
}
