package org.hornbeampass.router.daemon;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufAllocatorMetric;
import io.netty.buffer.ByteBufAllocatorMetricProvider;

import org.hornbeampass.coordination.capacity.AddressCaller;
import org.hornbeampass.coordination.capacity.AddressSelection;
import org.hornbeampass.coordination.capacity.AddressSnapshot;
import org.hornbeampass.coordination.capacity.CapacityDraw;
import org.hornbeampass.coordination.capacity.CapacityExchange;
import org.hornbeampass.coordination.capacity.CapacityLevel;
import org.hornbeampass.coordination.capacity.CapacityReport;
import org.hornbeampass.coordination.capacity.CapacityReports;
import org.hornbeampass.coordination.capacity.LoadSample;
import org.hornbeampass.coordination.capacity.Utilisation;
import org.hornbeampass.coordination.capacity.UtilisationMeter;
import org.hornbeampass.coordination.capacity.VmCapacity;
import org.hornbeampass.router.relay.LogFields;
import org.hornbeampass.router.relay.RelayLog;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.member.Member;
import org.hornbeampass.transport.peer.PeerTransport;
import org.hornbeampass.transport.relay.CallerHandler;
import org.hornbeampass.transport.relay.LinkBytes;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;
import java.util.function.ToDoubleFunction;

/**
 * Measures how much of this VM's capacity is used, shares that with the other VMs, and selects the
 * VMs for answers about addresses.
 *
 * <p>Confined to one event loop, except for the counters and {@link #select}.
 */
final class CapacityMonitor {
    private static final double PERMILLE = 1_000;
    private static final double MICROS_PER_SECOND = 1e6;

    private final String mSelf;
    private final UtilisationMeter mMeter;
    private final CapacityExchange mExchange;
    private final LongSupplier mLoopDelayMs;
    private final ProcessorTime mProcessor;
    private final RelayLog mLog;
    private final LinkBytes mLinkBytes = new LinkBytes();
    private final AddressSelection mSelection = new CapacityDraw();
    private CapacityReports mReports = CapacityReports.NONE;
    private CapacityLevel mLevel = CapacityLevel.NORMAL;
    private long mRequests;
    private final LongAdder mAnswers = new LongAdder();
    private final LongAdder mAnswersNamingSelf = new LongAdder();

    /**
     * Creates the monitor.
     *
     * @param capacity what this VM can carry
     * @param self this VM's name
     * @param exchange shares the reports of the VMs
     * @param loopDelayMs returns how late the event loop is, in milliseconds
     * @param processor returns the processor time that was used
     * @param log receives a line when the utilisation passes a threshold
     */
    private CapacityMonitor(
            VmCapacity capacity,
            String self,
            CapacityExchange exchange,
            LongSupplier loopDelayMs,
            ProcessorTime processor,
            RelayLog log) {
        mMeter = new UtilisationMeter(capacity);
        mSelf = self;
        mExchange = exchange;
        mLoopDelayMs = loopDelayMs;
        mProcessor = processor;
        mLog = log;
    }

    /** Creates the monitor of a VM and connects it to the other VMs. */
    static CapacityMonitor create(
            VmCapacity capacity,
            VmId vm,
            PeerTransport peers,
            FleetView fleet,
            OverloadMonitor overloads,
            RelayLog log) {
        CapacityExchange exchange =
                new CapacityExchange(vm.name(), vm.incarnation(), peers, fleet::broadcastPaths);
        peers.on(CapacityReport.class, exchange::onReport);
        return new CapacityMonitor(
                capacity, vm.name(), exchange, overloads::loopDelayMs, new ProcessorTime(log), log);
    }

    void registerMetrics(MetricRegistry metrics) {
        register(metrics, "capacity_used_permille", Utilisation::largest);
        register(metrics, "capacity_processor_permille", Utilisation::processor);
        register(metrics, "capacity_link_permille", Utilisation::link);
        register(metrics, "capacity_memory_permille", Utilisation::memory);
        metrics.register("capacity_request_micros", (Gauge<Long>) this::requestMicros);
        metrics.register("capacity_reports", (Gauge<Integer>) () -> mReports.current().size());
        metrics.register("address_answers", (Gauge<Long>) mAnswers::sum);
        metrics.register("address_answers_naming_self", (Gauge<Long>) mAnswersNamingSelf::sum);
    }

    private void register(
            MetricRegistry metrics, String name, ToDoubleFunction<Utilisation> fraction) {
        metrics.register(
                name, (Gauge<Long>) () -> permille(fraction.applyAsDouble(mMeter.utilisation())));
    }

    private static long permille(double fraction) {
        return Math.round(fraction * PERMILLE);
    }

    private long requestMicros() {
        return Math.round(mMeter.requestSeconds() * MICROS_PER_SECOND);
    }

    /** Returns the counter to add to the connections of callers and upstreams. */
    LinkBytes linkBytes() {
        return mLinkBytes;
    }

    /** Returns a handler that counts the requests before it passes them on. */
    CallerHandler counting(CallerHandler handler) {
        return (nowMs, caller, head) -> {
            mRequests++;
            return handler.onRequest(nowMs, caller, head);
        };
    }

    /** Measures again and sends the reports that are due. */
    void tick(long nowMs) {
        mMeter.record(
                nowMs,
                new LoadSample(
                        mRequests,
                        mProcessor.usedNs(nowMs),
                        mLinkBytes.read(),
                        mLinkBytes.written(),
                        heldBytes(),
                        mLoopDelayMs.getAsLong()));
        mExchange.tick(nowMs, mMeter.capacity(), mMeter.utilisation());
        mReports = mExchange.reports(nowMs);
        CapacityLevel before = mLevel;
        mLevel = before.next(mMeter.utilisation().largest());
        if (mLevel != before) {
            logLevel(nowMs, before);
        }
    }

    /** Returns the memory of the buffers that connections read into and write from, in bytes. */
    private static long heldBytes() {
        ByteBufAllocatorMetric used =
                ((ByteBufAllocatorMetricProvider) ByteBufAllocator.DEFAULT).metric();
        return used.usedDirectMemory() + used.usedHeapMemory();
    }

    private void logLevel(long nowMs, CapacityLevel before) {
        Utilisation used = mMeter.utilisation();
        mLog.logStateChange(
                nowMs,
                "capacity-level",
                new LogFields()
                        .add("level", mLevel.logName())
                        .add("before", before.logName())
                        .add("processor_permille", permille(used.processor()))
                        .add("link_permille", permille(used.link()))
                        .add("memory_permille", permille(used.memory()))
                        .add("loop_delay_ms", mLoopDelayMs.getAsLong())
                        .add("request_micros", requestMicros())
                        .add("reports", mReports.current().size()));
    }

    /** Returns what this VM knows at present of the VMs that may be named. */
    AddressSnapshot snapshot(List<Member> candidates, Set<String> withLostServices) {
        return new AddressSnapshot(candidates, withLostServices, mReports);
    }

    /** Selects the VMs that an answer names; any thread may call this. */
    List<Member> select(AddressSnapshot snapshot, AddressCaller caller, Random random) {
        List<Member> named = mSelection.select(snapshot, caller, random);
        mAnswers.increment();
        if (named.stream().anyMatch(m -> m.name().equals(mSelf))) {
            mAnswersNamingSelf.increment();
        }
        return named;
    }
}
