package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * The platform's object store as PROTOCOL.md describes it, in memory. Calls are carried out one
 * after another; what was acknowledged is lost only by {@link #restore}.
 */
final class Store implements AutoCloseable {
    private static final String OBJECTS = "/hornbeampass/objects/";

    /** One object; immutable. */
    private record Item(String name, long revision, Object spec, Object status) {}

    private record Event(long revision, String kind, Item item, boolean deleted) {}

    /** A copy of all objects. */
    record Copy(Map<String, TreeMap<String, Item>> objects, List<Event> events, long revision) {}

    private final ServerSocket mListener;
    private final Record mRecord;
    private final List<Socket> mSockets = new CopyOnWriteArrayList<>();
    private Map<String, TreeMap<String, Item>> mObjects = new HashMap<>();
    private List<Event> mEvents = new ArrayList<>();
    private long mRevision = 10;
    private long mEra = 1;
    private boolean mAway;

    Store(Record record) throws IOException {
        mRecord = record;
        mListener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        World.thread("store", this::accept);
    }

    int port() {
        return mListener.getLocalPort();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = mListener.accept();
                mSockets.add(socket);
                World.thread("store-connection", () -> serve(socket));
            }
        } catch (IOException e) {
            // Closed at the end.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Head head = Http.head(in); head != null; head = Http.head(in)) {
                String body = new String(Http.body(in, head), StandardCharsets.UTF_8);
                handle(head, body, out);
            }
        } catch (IOException | RuntimeException e) {
            // The router or the end of the case closed the connection.
        } finally {
            mSockets.remove(socket);
        }
    }

    private void handle(Http.Head head, String body, OutputStream out) throws IOException {
        int[] status = {200};
        String answer;
        long era;
        synchronized (this) {
            if (mAway) {
                status[0] = 503;
                answer = "{}";
            } else {
                answer = Json.write(carryOut(head, body, status));
            }
            era = mEra;
        }
        byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
        String text =
                "HTTP/1.1 "
                        + status[0]
                        + " Status\r\nContent-Type: application/json\r\nStore-Era: "
                        + era
                        + "\r\nContent-Length: "
                        + bytes.length
                        + "\r\n\r\n";
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.write(bytes);
        out.flush();
    }

    private Object carryOut(Http.Head head, String body, int[] status) {
        String target = head.target();
        int mark = target.indexOf('?');
        String path = (mark < 0 ? target : target.substring(0, mark)).substring(OBJECTS.length());
        Map<String, String> query = new HashMap<>();
        if (mark >= 0) {
            for (String each : target.substring(mark + 1).split("&")) {
                query.put(each.split("=")[0], each.split("=", 2)[1]);
            }
        }
        int slash = path.indexOf('/');
        String kind = slash < 0 ? path : path.substring(0, slash);
        String name = slash < 0 ? "" : path.substring(slash + 1);
        TreeMap<String, Item> items = mObjects.computeIfAbsent(kind, k -> new TreeMap<>());
        switch (head.method()) {
            case "GET":
                if (!name.isEmpty()) {
                    Item item = items.get(name);
                    status[0] = item == null ? 404 : 200;
                    return item == null ? Json.object() : json(item);
                }
                return query.containsKey("watch")
                        ? watch(kind, query, status)
                        : list(items, query.getOrDefault("after", ""));
            case "DELETE":
                return delete(kind, items, name, query, status);
            default:
                return write(head, kind, items, name, body, status);
        }
    }

    private Object list(TreeMap<String, Item> items, String after) {
        List<Object> listed = new ArrayList<>();
        items.tailMap(after, false).values().forEach(i -> listed.add(json(i)));
        return Json.object("items", listed, "more", false, "current-rev", mRevision);
    }

    private Object watch(String kind, Map<String, String> query, int[] status) {
        long from = Long.parseLong(query.get("watch"));
        long untilMs = World.nowMs() + Long.parseLong(query.getOrDefault("wait-ms", "0"));
        long era = mEra;
        while (true) {
            if (mEra != era || from > mRevision) {
                status[0] = 410;
                return Json.object();
            }
            List<Object> events = new ArrayList<>();
            for (Event each : mEvents) {
                if (each.revision > from && each.kind.equals(kind)) {
                    events.add(
                            Json.object("object", json(each.item), "deleted", each.deleted));
                }
            }
            long leftMs = untilMs - World.nowMs();
            if (!events.isEmpty() || leftMs <= 0) {
                return Json.object("events", events, "current-rev", mRevision);
            }
            try {
                wait(leftMs);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private Object delete(
            String kind,
            TreeMap<String, Item> items,
            String name,
            Map<String, String> query,
            int[] status) {
        Item item = items.get(name);
        if (item == null) {
            status[0] = 404;
            return Json.object();
        }
        String revision = query.get("revision");
        if (revision != null && Long.parseLong(revision) != item.revision) {
            status[0] = 409;
            return json(item);
        }
        items.remove(name);
        changed(kind, new Item(name, ++mRevision, item.spec, item.status), true);
        return json(item);
    }

    @SuppressWarnings("unchecked")
    private Object write(
            Http.Head head,
            String kind,
            TreeMap<String, Item> items,
            String path,
            String body,
            int[] status) {
        Map<String, Object> object = (Map<String, Object>) Json.read(body);
        Map<String, Object> meta =
                (Map<String, Object>) object.getOrDefault("metadata", Json.object());
        boolean ofStatus = path.endsWith("/status");
        String name =
                head.method().equals("POST")
                        ? (String) meta.get("name")
                        : path.replaceFirst("/status$", "");
        Item before = items.get(name);
        boolean create = head.method().equals("POST");
        if (!create && before == null) {
            status[0] = 404;
            return Json.object();
        }
        Object revision = meta.get("revision");
        boolean stale =
                !create && revision instanceof Long && (Long) revision != before.revision;
        if ((create && before != null) || stale) {
            status[0] = 409;
            return json(before);
        }
        Object spec = ofStatus ? before.spec : object.get("spec");
        Object state = ofStatus ? object.get("status") : before == null ? null : before.status;
        if (before != null
                && Json.write(spec).equals(Json.write(before.spec))
                && Json.write(state).equals(Json.write(before.status))) {
            return json(before);
        }
        Item written = new Item(name, ++mRevision, spec, state);
        items.put(name, written);
        changed(kind, written, false);
        if (kind.equals("budgets")) {
            mRecord.line("store " + kind + "/" + name + " era " + mEra + " rev " + mRevision
                    + " " + Json.write(spec));
        }
        return json(written);
    }

    private void changed(String kind, Item item, boolean deleted) {
        mEvents.add(new Event(mRevision, kind, item, deleted));
        notifyAll();
    }

    private static Map<String, Object> json(Item item) {
        return Json.object(
                "metadata",
                Json.object(
                        "name", item.name,
                        "revision", item.revision,
                        "created", 1,
                        "finalizers", List.of(),
                        "deleting", false),
                "spec",
                item.spec,
                "status",
                item.status);
    }

    /** Writes an object as the operator and the runners do. */
    synchronized void put(String kind, String name, Object spec) {
        TreeMap<String, Item> items = mObjects.computeIfAbsent(kind, k -> new TreeMap<>());
        Item before = items.get(name);
        if (before != null && Json.write(before.spec).equals(Json.write(spec))) {
            return;
        }
        Item written = new Item(name, ++mRevision, spec, null);
        items.put(name, written);
        changed(kind, written, false);
    }

    /** Removes an entry, as the platform does with that of a runner that is gone. */
    synchronized void remove(String kind, String name) {
        Item item = mObjects.computeIfAbsent(kind, k -> new TreeMap<>()).remove(name);
        if (item != null) {
            changed(kind, new Item(name, ++mRevision, item.spec, item.status), true);
        }
    }

    /** Returns the spec of an object; null if there is none. */
    synchronized Object get(String kind, String name) {
        Item item = mObjects.computeIfAbsent(kind, k -> new TreeMap<>()).get(name);
        return item == null ? null : item.spec;
    }

    synchronized Copy copy() {
        Map<String, TreeMap<String, Item>> objects = new HashMap<>();
        mObjects.forEach((kind, items) -> objects.put(kind, new TreeMap<>(items)));
        return new Copy(objects, new ArrayList<>(mEvents), mRevision);
    }

    /** Answers all calls with 503 from now on, or serves them again. */
    synchronized void setAway(boolean away) {
        mAway = away;
        mRecord.line(away ? "store is away" : "store is back, era " + mEra + " rev " + mRevision);
    }

    /** Comes back from a copy: what was written since is gone, and its revisions are reused. */
    synchronized void restore(Copy copy) {
        mObjects = new HashMap<>();
        copy.objects.forEach((kind, items) -> mObjects.put(kind, new TreeMap<>(items)));
        mEvents = new ArrayList<>(copy.events);
        mRevision = copy.revision;
        mEra++;
        notifyAll();
        mRecord.line("store is restored, era " + mEra + " rev " + mRevision);
    }

    @Override
    public void close() throws IOException {
        mListener.close();
        for (Socket each : mSockets) {
            each.close();
        }
    }
}
