package org.hornbeampass.coordination.service;

import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.member.Member;
import org.hornbeampass.state.member.MemberState;

/** Creates members for tests. */
public final class TestMembers {
    private TestMembers() {}

    /** Returns a VM that is up. */
    public static Member live(String name, int domain) {
        return new Member(
                new VmId(name, 1),
                "h",
                "p",
                new Region("r"),
                new FailureDomain("d" + domain),
                MemberState.LIVE);
    }
}
