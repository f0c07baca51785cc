import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.tanagerhinge.standin.relay.PlatformFixture;
import org.tanagerhinge.standin.relay.StoreStandin;

/**
 * Starts a small deployment on loopback: the project's stand-in of the platform's store, servers, and gateways as
 * separate processes with the command of the deploy file. Writes what happens to a record.
 */
final class Rig implements AutoCloseable {
    static final String HOST = "shop.example";
    static final String KEY = "key1";
    static final String TENANT = "tenant1";
    static final int HEARTBEAT_MILLIS = 1_200;
    private static final int FIRST_PORT = 15_000;
    private static final int LAST_PORT = 32_000;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final StoreStandin store;
    final PlatformFixture platform;
    private final long startedNanos = System.nanoTime();
    private final PrintWriter record;
    private final Path folder;
    private final List<Process> processes = new ArrayList<>();
    private final Map<String, String> entries = new ConcurrentHashMap<>();
    private volatile int sequence = 1;
    private volatile boolean closed;

    Rig(Path recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(recordFile));
        folder = Files.createTempDirectory("review");
        store = StoreStandin.start(0);
        store.statesEra(false);
        platform = PlatformFixture.in(store);
        platform.workspace(TENANT, KEY);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        Thread.ofPlatform().daemon().start(this::beat);
        log("trouble " + (trouble ? "on" : "off"));
    }

    /** Plays a case. */
    interface Case {
        /** Returns the exit code: 1 if the rule was broken, 0 if it held. */
        int play(Rig rig) throws Exception;
    }

    /** Plays a case with a record file, and ends this process with the case's exit code, or with 2 if it couldn't run. */
    static void play(String recordFile, Case played) {
        int code = 2;
        try (Rig rig = new Rig(Path.of(recordFile))) {
            try {
                code = played.play(rig);
            } catch (Exception e) {
                rig.log("could not run: " + e);
                System.out.println("could not run: " + e);
            }
        } catch (IOException e) {
            System.out.println("could not run: " + e);
        }
        System.exit(code);
    }

    long millis() {
        return (System.nanoTime() - startedNanos) / 1_000_000;
    }

    synchronized void log(String line) {
        record.println(String.format(Locale.ROOT, "%8.3f s  %s", millis() / 1000.0, line));
        record.flush();
    }

    /** Prints the verdict and returns the exit code. */
    int verdict(boolean broken, String text) {
        log((broken ? "BROKEN: " : "HELD: ") + text);
        System.out.println((broken ? "broken: " : "held: ") + text);
        return broken ? 1 : 0;
    }

    // ---- servers

    /** Registers a server, and renews its entry as a server does. */
    void register(String id, int port, String service, int slots) {
        entries.put(
                id,
                "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"north\",\"version\":\"v1\",\"slots\":"
                        + slots + ",\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":%d}");
        store.put("servers/" + id, entries.get(id).formatted(1));
        log("server " + id + " of " + service + " registers, port " + port);
    }

    /** Stops renewing an entry. */
    void forget(String id) {
        entries.remove(id);
    }

    /** Stops renewing the entry of a server that has crashed; the store removes it after three heartbeat intervals. */
    void lapse(String id) {
        entries.remove(id);
        Thread.ofPlatform().daemon().start(() -> {
            sleep(3 * HEARTBEAT_MILLIS);
            store.remove("servers/" + id);
        });
    }

    /** Returns what a server writes at its next renewal. */
    String entry(String id) {
        return entries.get(id).formatted(++sequence);
    }

    private void beat() {
        while (!closed) {
            sleep(HEARTBEAT_MILLIS);
            sequence++;
            entries.forEach((id, entry) -> store.put("servers/" + id, entry.formatted(sequence)));
        }
    }

    // ---- gateways

    /** A gateway process. */
    record Gateway(String name, Process process, int port, int readyPort, Path output) {
        long pid() {
            return process.pid();
        }
    }

    Gateway gateway(String name) throws IOException {
        return gateway(name, true);
    }

    /** Starts a gateway; {@code bootstrap} tells whether the whole system starts for the first time. */
    Gateway gateway(String name, boolean bootstrap) throws IOException {
        int[] ports = freePorts(4);
        String text = Files.readString(Path.of("deploy/gateway.ini"));
        // Sections of the template for what this deployment does not have.
        text = Pattern.compile("\\{\\{#([^}]+)}}.*?\\{\\{/\\1}}", Pattern.DOTALL).matcher(text).replaceAll("");
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("nodeName", name);
        fields.put("zone", "north");
        fields.put("listen.front", "127.0.0.1:" + ports[0]);
        fields.put("listen.ready", "127.0.0.1:" + ports[1]);
        fields.put("internalPorts.0", "" + ports[2]);
        fields.put("platform.address", "127.0.0.1:" + store.address().getPort());
        fields.put("bootstrap", "" + bootstrap);
        fields.put("bounds.graceS", "8");
        fields.put("bounds.retryBudgetRatio", "0.2");
        fields.put("bounds.retryBudgetSlack", "54");
        fields.put("bounds.budgetWindowS", "10");
        fields.put("limits.cpuShare", "0.57");
        fields.put("limits.cores", "1");
        text = text.replace("{{ip}}:9464", "127.0.0.1:" + ports[3]).replace("{{ip}}", "127.0.0.1");
        for (Map.Entry<String, String> field : fields.entrySet()) {
            text = text.replace("{{" + field.getKey() + "}}", field.getValue());
        }
        if (text.contains("{{")) {
            throw new IOException("the template has fields that this rig does not know:\n" + text);
        }
        Path settings = folder.resolve(name + ".ini");
        Files.writeString(settings, text);
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("no run in deploy/system.toml");
        }
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("TANAGERHINGE_BOOT", settings.toString());
        Path output = folder.resolve(name + ".log");
        builder.redirectErrorStream(true).redirectOutput(output.toFile());
        Process process = builder.start();
        processes.add(process);
        log("gateway " + name + " starts, process " + process.pid() + ", port " + ports[0]);
        return new Gateway(name, process, ports[0], ports[1], output);
    }

    boolean ready(Gateway gateway) {
        try (Client client = new Client(gateway.readyPort())) {
            client.send("GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n", new byte[0]);
            return client.read(2_000).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void awaitReady(Gateway gateway) throws IOException {
        for (int i = 0; i < 200; i++) {
            if (ready(gateway)) {
                log("gateway " + gateway.name() + " is ready");
                return;
            }
            if (!gateway.process().isAlive()) {
                break;
            }
            sleep(100);
        }
        throw new IOException("gateway " + gateway.name() + " is not ready: " + Files.readString(gateway.output()));
    }

    /** Starts another program of this rig as a process of its own. */
    Process java(String... words) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                ProcessHandle.current().info().command().orElseThrow(),
                "-Xmx64m",
                "-XX:+UseSerialGC",
                "-cp",
                System.getProperty("java.class.path")));
        command.addAll(List.of(words));
        Process process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve(words[0] + "-" + System.nanoTime() + ".log").toFile())
                .start();
        processes.add(process);
        return process;
    }

    void signal(String signal, Process process) throws IOException {
        log("SIG" + signal + " to process " + process.pid());
        try {
            new ProcessBuilder("kill", "-" + signal, "" + process.pid()).inheritIO().start().waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void endProcesses() {
        for (Process process : processes) {
            if (process.isAlive()) {
                try {
                    new ProcessBuilder("kill", "-KILL", "" + process.pid()).start().waitFor();
                    process.waitFor(2, TimeUnit.SECONDS);
                } catch (IOException | InterruptedException e) {
                    process.destroyForcibly();
                }
            }
        }
    }

    @Override
    public void close() {
        closed = true;
        endProcesses();
        record.close();
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
            Files.delete(folder);
        } catch (IOException e) {
            System.out.println("cannot remove " + folder + ": " + e);
        }
    }

    // ---- helpers

    /**
     * Returns ports that are free for TCP and UDP, below the range from which the system takes those of outgoing
     * connections, so that none is taken before it is used, or while a server is down.
     */
    static int[] freePorts(int count) throws IOException {
        List<AutoCloseable> sockets = new ArrayList<>();
        int[] ports = new int[count];
        try {
            InetAddress loopback = InetAddress.getByName("127.0.0.1");
            for (int found = 0, tries = 0; found < count; tries++) {
                int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
                try {
                    sockets.add(new ServerSocket(port, 1, loopback));
                    sockets.add(new DatagramSocket(port, loopback));
                    ports[found++] = port;
                } catch (IOException e) {
                    if (tries > 1_000) {
                        throw e;
                    }
                }
            }
        } finally {
            for (AutoCloseable socket : sockets) {
                try {
                    socket.close();
                } catch (Exception e) {
                    throw new IOException(e);
                }
            }
        }
        return ports;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** An answer as a client reads it; {@code complete} is false if the connection ended within it. */
    record Answer(int status, Map<String, String> headers, byte[] body, boolean complete) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** A client's connection. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        private final InputStream in;
        private final OutputStream out;

        Client(int port) throws IOException {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
            in = new java.io.BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        void send(String head, byte[] body) throws IOException {
            out.write(head.getBytes(StandardCharsets.UTF_8));
            out.write(body);
            out.flush();
        }

        /** Sends a request of the deployment. */
        void request(String method, String path, String id, long deadlineMillis, String headers, byte[] body)
                throws IOException {
            send(
                    method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: "
                            + deadlineMillis + "\r\nAuthorization: Token " + KEY + "\r\n" + headers
                            + (method.equals("GET") ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n",
                    body);
        }

        /** Reads one answer; throws an EOFException if the connection ends before its head. */
        Answer read(int timeoutMillis) throws IOException {
            socket.setSoTimeout(timeoutMillis);
            String first = line(in);
            if (first == null) {
                throw new EOFException("the connection ends without an answer");
            }
            int status = Integer.parseInt(first.split(" ", -1)[1]);
            Map<String, String> headers = headers(in);
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            boolean complete;
            try {
                complete = "chunked".equalsIgnoreCase(headers.get("transfer-encoding"))
                        ? chunks(in, body)
                        : whole(in, body, headers.containsKey("content-length") ? Integer.parseInt(headers.get("content-length")) : -1);
            } catch (java.net.SocketTimeoutException e) {
                throw e;
            } catch (IOException e) {
                complete = false;
            }
            return new Answer(status, headers, body.toByteArray(), complete);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private static boolean whole(InputStream in, ByteArrayOutputStream body, int length) throws IOException {
        byte[] bytes = length < 0 ? in.readAllBytes() : in.readNBytes(length);
        body.write(bytes);
        return length < 0 || bytes.length == length;
    }

    private static boolean chunks(InputStream in, ByteArrayOutputStream body) throws IOException {
        while (true) {
            String size = line(in);
            if (size == null) {
                return false;
            }
            int length = Integer.parseInt(size, 16);
            byte[] bytes = in.readNBytes(length);
            body.write(bytes);
            if (bytes.length < length || line(in) == null) {
                return false;
            }
            if (length == 0) {
                return true;
            }
        }
    }

    static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new TreeMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return headers;
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                return line.toString(StandardCharsets.UTF_8).trim();
            }
            line.write(b);
        }
        return null;
    }
}
