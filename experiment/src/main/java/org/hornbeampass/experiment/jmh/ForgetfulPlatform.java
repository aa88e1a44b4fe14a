package org.hornbeampass.experiment.jmh;

import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;

import java.util.List;
import java.util.function.BiConsumer;

/**
 * A platform that answers every write as done and holds nothing, so that only the caller's own cost
 * is measured.
 *
 * <p>Thread-safe: holds no state.
 */
final class ForgetfulPlatform implements Platform {
    @Override
    public void submit(long nowMs, PlatformCall call, BiConsumer<Long, PlatformReply> done) {
        PlatformReply reply =
                switch (call.kind()) {
                    case WRITE -> new PlatformReply.Written(1);
                    case WATCH -> new PlatformReply.Changed(List.of(), 1);
                    case READ ->
                            call instanceof PlatformCall.Get
                                    ? new PlatformReply.Missing()
                                    : new PlatformReply.Listed(List.of(), false, 1);
                };
        done.accept(nowMs, reply);
    }
}
