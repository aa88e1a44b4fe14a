package org.hornbeampass.transport.peer;

import io.netty.handler.ssl.SslContext;

import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.EventLoops;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.Function;

/** The dependencies shared by all parts of a peer transport. Immutable; safe for any thread. */
record PeerContext(
        EventLoops loops,
        PeerSettings settings,
        Clock clock,
        PeerCounters counters,
        Function<String, Optional<InetSocketAddress>> addresses,
        Optional<SslContext> clientTls) {}
