package org.hornbeampass.coordination.config;

import org.hornbeampass.state.member.Member;

import java.util.OptionalLong;

/**
 * The last known revision of one VM.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param member the VM
 * @param revision the revision that it last reported; empty if no report was received
 * @param reportedAtMs when the VM reported it, in milliseconds; empty if no report was received
 */
public record VmRevision(Member member, OptionalLong revision, OptionalLong reportedAtMs) {}
