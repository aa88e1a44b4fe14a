package org.hornbeampass.router.daemon;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

import io.netty.handler.codec.http.HttpRequest;

import org.hornbeampass.router.relay.WireFormat;
import org.hornbeampass.state.service.CallerLimits;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.EventLoops;
import org.hornbeampass.transport.relay.CallerConnection;
import org.hornbeampass.transport.relay.CallerHandler;
import org.hornbeampass.transport.relay.CallerListener;
import org.hornbeampass.transport.relay.CallerServer;

import java.net.InetSocketAddress;
import java.util.function.LongFunction;
import java.util.function.Supplier;

/**
 * Answers callers that ask for addresses, and checks of the VM's readiness.
 *
 * <p>With an event loop of their own, these answers come from the last snapshot that the main loop
 * published, however old it is: an overloaded VM still tells callers where to go, and is not taken
 * for dead. Otherwise a snapshot is made for each answer on the main loop, to which this class is
 * then confined. {@link #publish} is called on the main loop; all else is thread-safe.
 */
final class DirectoryServers implements AutoCloseable {
    /** The age from which an answer counts as given from an old snapshot, in milliseconds. */
    private static final long OLD_MS = 2_000;

    private final EventLoops mLoops;
    private final boolean mOwnLoop;
    private final Clock mClock;
    private final WireFormat mWire;
    private final LongFunction<DirectorySnapshot> mSource;
    private final Supplier<CallerLimits> mLimits;
    private final Counter mOldAnswers;
    private final CallerServer mDirectory;
    private final CallerServer mReadiness;
    private volatile DirectorySnapshot mPublished = DirectorySnapshot.NONE;

    /**
     * Starts the servers.
     *
     * @param mainLoops the loop on which snapshots are made
     * @param ownLoop whether answers are given on an event loop of their own
     * @param source makes a snapshot of the present time in milliseconds
     * @param limits supplies the limits for callers, on the main loop
     */
    DirectoryServers(
            EventLoops mainLoops,
            boolean ownLoop,
            Clock clock,
            WireFormat wire,
            RelayDaemonSettings.Listen listen,
            MetricRegistry metrics,
            LongFunction<DirectorySnapshot> source,
            Supplier<CallerLimits> limits) {
        mLoops = ownLoop ? EventLoops.create(1, "directory") : mainLoops;
        mOwnLoop = ownLoop;
        mClock = clock;
        mWire = wire;
        mSource = source;
        mLimits = limits;
        mOldAnswers = metrics.counter("directory_answers_old");
        mDirectory = serve(listen.directory(), new AddressHandler(wire, this::snapshot));
        mReadiness = serve(listen.readiness(), this::onReadinessRequest);
    }

    private CallerServer serve(InetSocketAddress address, CallerHandler handler) {
        return CallerServer.start(
                mLoops,
                address,
                mClock,
                handler,
                () -> mOwnLoop ? mPublished.limits() : mLimits.get());
    }

    private DirectorySnapshot snapshot(long nowMs) {
        return mOwnLoop ? mPublished : mSource.apply(nowMs);
    }

    private CallerListener onReadinessRequest(
            long nowMs, CallerConnection caller, HttpRequest head) {
        boolean ready = snapshot(nowMs).ready();
        countIfOld(nowMs);
        JsonAnswers.respond(caller, ready && mWire.asksForReadiness(head) ? 200 : 503, "{}");
        return CallerListener.IGNORING;
    }

    private void countIfOld(long nowMs) {
        if (mOwnLoop && nowMs - mPublished.atMs() > OLD_MS) {
            mOldAnswers.inc();
        }
    }

    /** Publishes what answers are given from; called on the main loop at each tick. */
    void publish(long nowMs) {
        if (mOwnLoop) {
            mPublished = mSource.apply(nowMs);
        }
    }

    /** Returns the address at which callers request the addresses to use. */
    InetSocketAddress directoryAddress() {
        return mDirectory.address();
    }

    /** Returns the address for readiness checks. */
    InetSocketAddress readinessAddress() {
        return mReadiness.address();
    }

    /** Closes the event loop if it is not the main one. */
    @Override
    public void close() {
        if (mOwnLoop) {
            mLoops.close();
        }
    }
}
