package review;

import java.io.File;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One router: the program of the deploy file as a process of its own. */
final class Router {
    private static final String SETTINGS_PATH = "/etc/hornbeampass/node.conf";

    final String ip;
    private final World mWorld;
    private final int mNumber;
    private final Map<String, Object> mSettings;
    private Process mProcess;
    private int mStarts;

    Router(World world, int number, String ip, Map<String, Object> settings) {
        mWorld = world;
        mNumber = number;
        this.ip = ip;
        mSettings = settings;
    }

    private int port(String listen) {
        String address = (String) ((Map<?, ?>) mSettings.get("listen")).get(listen);
        return Integer.parseInt(address.substring(address.indexOf(':') + 1));
    }

    int frontPort() {
        return port("front");
    }

    /** Starts a process with the command and the template of the deploy file. */
    synchronized void start() throws IOException {
        Path deploy = mWorld.repository.resolve("deploy");
        String template = Files.readString(deploy.resolve("router.json.template"));
        Path file = mWorld.dir.resolve("router-" + mNumber + ".json");
        Files.writeString(file, Template.fill(template, mSettings));
        List<String> command = new ArrayList<>();
        for (String line : Files.readAllLines(deploy.resolve("system.toml"))) {
            if (line.startsWith("run = \"")) {
                String run = line.substring("run = \"".length(), line.lastIndexOf('"'));
                for (String word : run.split(" ")) {
                    command.add(word.equals(SETTINGS_PATH) ? file.toString() : word);
                }
            }
        }
        String logs = System.getProperty("logs", "");
        File log =
                (logs.isEmpty() ? mWorld.dir : Path.of(logs))
                        .resolve("router-" + mNumber + "-" + ++mStarts + ".log")
                        .toFile();
        mProcess =
                new ProcessBuilder(command)
                        .directory(mWorld.repository.toFile())
                        .redirectErrorStream(true)
                        .redirectOutput(log)
                        .start();
        mWorld.record.line("router " + ip + " is started");
    }

    boolean isReady() {
        try (Socket socket = new Socket(ip, port("ready"))) {
            socket.setSoTimeout(2_000);
            socket.getOutputStream()
                    .write(
                            ("GET /hornbeampass/readiness HTTP/1.1\r\nHost: r\r\n"
                                            + "Connection: close\r\n\r\n")
                                    .getBytes(StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readNBytes(12), StandardCharsets.ISO_8859_1)
                    .equals("HTTP/1.1 200");
        } catch (IOException e) {
            return false; // It does not listen yet.
        }
    }

    boolean isRunning() {
        return mProcess != null && mProcess.isAlive();
    }

    /** Sends a signal by its name. */
    void signal(String name) throws IOException, InterruptedException {
        mWorld.record.line("router " + ip + " gets SIG" + name);
        new ProcessBuilder("kill", "-" + name, Long.toString(mProcess.pid())).start().waitFor();
    }

    /** Sends SIGTERM and, after the grace period, SIGKILL, as the platform does. */
    void terminate(long graceMs) {
        World.thread(
                "terminate",
                () -> {
                    try {
                        signal("TERM");
                        if (!mProcess.waitFor(graceMs, TimeUnit.MILLISECONDS)) {
                            signal("KILL");
                        }
                        mProcess.waitFor();
                        mWorld.record.line("router " + ip + " has ended");
                    } catch (IOException | InterruptedException e) {
                        throw new IllegalStateException(e);
                    }
                });
    }

    synchronized void kill() {
        if (isRunning()) {
            mProcess.destroyForcibly();
            try {
                mProcess.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
