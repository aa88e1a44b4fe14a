package org.hornbeampass.coordination.config;

import org.hornbeampass.state.member.Member;

import java.util.OptionalLong;

/**
 * Which revision one VM runs, as far as is known.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param member the VM
 * @param revision the revision; empty where nothing was heard of it
 * @param reportedAtMs when the VM said so, in milliseconds; empty where nothing was heard of it
 */
public record VmRevision(Member member, OptionalLong revision, OptionalLong reportedAtMs) {}
