package review;

import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodType;
import java.nio.channels.SocketChannel;

import jdk.incubator.foreign.CLinker;
import jdk.incubator.foreign.FunctionDescriptor;
import jdk.incubator.foreign.MemoryAccess;
import jdk.incubator.foreign.MemoryAddress;
import jdk.incubator.foreign.MemorySegment;
import jdk.incubator.foreign.ResourceScope;

/**
 * Gives one socket of the requester the segment size of an Ethernet, where loopback has 64 KB and
 * with it send buffers of some megabytes. It sets TCP_MAXSEG on that socket alone.
 */
final class SmallSegments {
    private static final int IPPROTO_TCP = 6;
    private static final int TCP_MAXSEG = 2;
    private static final int ETHERNET = 1_460;

    private SmallSegments() {}

    static void set(SocketChannel channel) throws Exception {
        var getFd = channel.getClass().getDeclaredMethod("getFDVal");
        getFd.setAccessible(true);
        int fd = (int) getFd.invoke(channel);
        MethodHandle setsockopt =
                CLinker.getInstance()
                        .downcallHandle(
                                CLinker.systemLookup().lookup("setsockopt").orElseThrow(),
                                MethodType.methodType(
                                        int.class,
                                        int.class,
                                        int.class,
                                        int.class,
                                        MemoryAddress.class,
                                        int.class),
                                FunctionDescriptor.of(
                                        CLinker.C_INT,
                                        CLinker.C_INT,
                                        CLinker.C_INT,
                                        CLinker.C_INT,
                                        CLinker.C_POINTER,
                                        CLinker.C_INT));
        try (ResourceScope scope = ResourceScope.newConfinedScope()) {
            MemorySegment value = MemorySegment.allocateNative(4, scope);
            MemoryAccess.setInt(value, ETHERNET);
            int code = (int) invoke(setsockopt, fd, value.address());
            if (code != 0) {
                throw new IllegalStateException("setsockopt: " + code);
            }
        }
    }

    private static Object invoke(MethodHandle setsockopt, int fd, MemoryAddress value) {
        try {
            return (int) setsockopt.invokeExact(fd, IPPROTO_TCP, TCP_MAXSEG, value, 4);
        } catch (Throwable e) {
            throw new IllegalStateException(e);
        }
    }
}
