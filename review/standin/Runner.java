package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A runner: a server that keeps its entry in the store and answers requests as its behaviour says.
 * It checks who is named in {@code Hornbeampass-Expect-Instance}.
 */
final class Runner {
    /** Answers one request; returns whether the connection stays open. */
    interface Behaviour {
        boolean answer(Runner runner, Http.Head head, byte[] body, OutputStream out)
                throws Exception;
    }

    private static final long BEAT_MS = 1_200;

    final String id;
    final String service;
    private final World mWorld;
    private final String mZone;
    private final int mSlots;
    private final long mPort;
    private final List<Socket> mSockets = new CopyOnWriteArrayList<>();
    private volatile ServerSocket mListener;
    private volatile Behaviour mBehaviour;
    private volatile boolean mUp;
    private volatile boolean mCutFromStore;
    private volatile String mVersion = "v1";
    private volatile long mBornMs;
    private volatile long mSeq;

    Runner(World world, String id, String service, String zone, int slots) throws IOException {
        mWorld = world;
        this.id = id;
        this.service = service;
        mZone = zone;
        mSlots = slots;
        mListener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        mPort = mListener.getLocalPort();
        up();
    }

    void behave(Behaviour behaviour) {
        mBehaviour = behaviour;
    }

    String version() {
        return mVersion;
    }

    void setVersion(String version) {
        mVersion = version;
    }

    private void up() {
        mBornMs = System.currentTimeMillis();
        mSeq = 0;
        mUp = true;
        ServerSocket listener = mListener;
        World.thread("runner " + id, () -> accept(listener));
        writeEntry();
        long born = mBornMs;
        World.thread(
                "beats " + id,
                () -> {
                    try {
                        while (mUp && born == mBornMs) {
                            World.sleep(BEAT_MS);
                            if (mUp && born == mBornMs) {
                                writeEntry();
                            }
                        }
                    } catch (InterruptedException e) {
                        throw new IllegalStateException(e);
                    }
                });
    }

    /** Cuts the runner off from the store, or heals the cut. */
    void setCutFromStore(boolean cut) {
        mCutFromStore = cut;
        mWorld.record.line("runner " + id + (cut ? " is cut off from" : " reaches") + " the store");
    }

    void writeEntry() {
        if (mCutFromStore) {
            return;
        }
        mWorld.store.put(
                "servers",
                id,
                Json.object(
                        "service", service,
                        "address", "127.0.0.1:" + mPort,
                        "zone", mZone,
                        "version", mVersion,
                        "slots", mSlots,
                        "state", "ready",
                        "cold-left-ms", 0,
                        "seq-no", mSeq,
                        "born", mBornMs));
    }

    private void accept(ServerSocket listener) {
        try {
            while (true) {
                Socket socket = listener.accept();
                mSockets.add(socket);
                World.thread("runner-connection", () -> serve(socket));
            }
        } catch (IOException e) {
            // It has ended.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            boolean open = true;
            for (Http.Head head = Http.head(in); open && head != null; head = Http.head(in)) {
                byte[] body = Http.body(in, head);
                String expected = head.header("Hornbeampass-Expect-Instance");
                if (!expected.isEmpty() && !expected.equals(id)) {
                    write(out, "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                open = mBehaviour.answer(this, head, body, out);
                if (!open) {
                    return;
                }
            }
        } catch (Exception e) {
            // The router closed the connection, or the runner has ended.
        } finally {
            mSockets.remove(socket);
        }
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Returns the head of an answer that this runner has made, without its framing. */
    static String success(Http.Head request) {
        return "HTTP/1.1 200 OK\r\nHornbeampass-Request-Id: "
                + request.header("Hornbeampass-Request-Id")
                + "\r\nHornbeampass-Response-Seal: seal-"
                + request.header("Hornbeampass-Request-Id")
                + "\r\n";
    }

    /** Rejects a request for want of room: it was not run. */
    static void reject(Http.Head request, OutputStream out, String more) throws IOException {
        write(
                out,
                "HTTP/1.1 503 Full\r\nHornbeampass-Request-Id: "
                        + request.header("Hornbeampass-Request-Id")
                        + "\r\nHornbeampass-Not-Executed: 1\r\n"
                        + more
                        + "Content-Length: 0\r\n\r\n");
    }

    boolean isUp() {
        return mUp;
    }

    /** Ends the process of the runner: its connections are reset and its port is closed. */
    synchronized void crash() {
        if (!mUp) {
            return;
        }
        mUp = false;
        mWorld.record.line("runner " + id + " crashes");
        try {
            mListener.close();
            for (Socket each : mSockets) {
                each.setSoLinger(true, 0);
                each.close();
            }
        } catch (IOException e) {
            // A connection was closed already.
        }
    }

    /** Starts again under the same id and address, with another start time. */
    synchronized void startAgain() throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(
                new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), (int) mPort),
                200);
        mListener = listener;
        up();
        mWorld.record.line("runner " + id + " is back, version " + mVersion);
    }

    void close() {
        mUp = false;
        try {
            mListener.close();
            for (Socket each : mSockets) {
                each.close();
            }
        } catch (IOException e) {
            // The program ends.
        }
    }
}
