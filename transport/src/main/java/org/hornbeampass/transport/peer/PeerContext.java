package org.hornbeampass.transport.peer;

import io.netty.handler.ssl.SslContext;

import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.EventLoops;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.Function;

/** What all parts of one peer transport share. Immutable; safe for use by any thread. */
record PeerContext(
        EventLoops loops,
        PeerSettings settings,
        Clock clock,
        PeerCounters counters,
        Function<String, Optional<InetSocketAddress>> addresses,
        Optional<SslContext> clientTls) {}
