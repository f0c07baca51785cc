import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.tanagerhinge.standin.relay.StoreStandin;

/** Starts gateways with the command of the deploy file beside a stand-in of the store, and records what happens. */
final class CaseRig implements AutoCloseable {
    /** Exit codes of a case. */
    static final int HELD = 0;

    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private static final long HEARTBEAT_MILLIS = 1_200;

    final StoreStandin store = StoreStandin.start(0);
    /** Entries of running servers without their sequence, by id. */
    private final Map<String, String> entries = new ConcurrentHashMap<>();

    private final AtomicLong beats = new AtomicLong();
    private final long startedNanos = System.nanoTime();
    private final PrintWriter record;
    private boolean closed;
    private final Path temporary;
    private final List<Gateway> gateways = new ArrayList<>();
    private final List<Process> servers = Collections.synchronizedList(new ArrayList<>());

    CaseRig(String recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)));
        temporary = Files.createTempDirectory("review");
        store.statesEra(false);
        Thread.ofPlatform().daemon().start(this::beatAll);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            gateways.forEach(gateway -> gateway.process.destroyForcibly());
            servers.forEach(Process::destroyForcibly);
        }));
        log("trouble: " + trouble);
    }

    /** A gateway process. */
    record Gateway(String name, Process process, int port, int statusPort, Path output) {}

    synchronized void log(String line) {
        if (!closed) {
            record.printf(Locale.ROOT, "%9.3f %s%n", millis() / 1000.0, line);
            record.flush();
        }
    }

    long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
    }

    /** Returns a free port below those of outgoing connections, which could take it before the gateway does. */
    static int freePort() throws IOException {
        for (int i = 0; i < 1_000; i++) {
            int port = ThreadLocalRandom.current().nextInt(12_000, 32_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // The port is taken.
            }
        }
        throw new IOException("no free port");
    }

    /** Starts a gateway and waits until it says that it is ready. */
    Gateway startGateway(String name, Map<String, String> more) throws Exception {
        Map<String, String> values = new TreeMap<>(more);
        int front = freePort();
        int ready = freePort();
        values.put("nodeName", name);
        values.putIfAbsent("zone", "kita-hall");
        values.put("ip", "127.0.0.1");
        values.put("listen.front", "127.0.0.1:" + front);
        values.put("listen.ready", "127.0.0.1:" + ready);
        values.put("internalPorts.0", Integer.toString(freePort()));
        values.putIfAbsent("platform.address", "127.0.0.1:" + store.address().getPort());
        values.putIfAbsent("bootstrap", "true");
        values.put("bounds.graceS", "8");
        values.put("bounds.retryBudgetRatio", "0.2");
        values.put("bounds.retryBudgetSlack", "54");
        values.put("bounds.budgetWindowS", "10");
        values.put("limits.cpuShare", "0.57");
        values.put("limits.cores", "1");
        Path settings = temporary.resolve(name + ".ini");
        // All gateways of a case are on one host, so each has a metrics port of its own.
        String template =
                Files.readString(Path.of("deploy/gateway.ini")).replace("{{ip}}:9464", "{{ip}}:" + freePort());
        Files.writeString(settings, fill(template, values));
        String run = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow()
                .replaceFirst("run = \"(.*)\"", "$1");
        Path output = temporary.resolve(name + ".log");
        ProcessBuilder builder = new ProcessBuilder(run.split(" "));
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("TANAGERHINGE_BOOT", settings.toString());
        Process process = builder.redirectErrorStream(true)
                .redirectOutput(output.toFile())
                .start();
        Gateway gateway = new Gateway(name, process, front, ready, output);
        gateways.add(gateway);
        log("started " + name);
        for (int i = 0; i < 200; i++) {
            if (isReady(gateway)) {
                log(name + " is ready");
                return gateway;
            }
            Thread.sleep(50);
        }
        throw new IllegalStateException(name + " is not ready: " + Files.readString(output));
    }

    private static String fill(String template, Map<String, String> values) {
        String text = template;
        if (!values.containsKey("cloud.address")) {
            text = text.replaceAll("(?s)\\{\\{#cloud.address}}.*\\{\\{/cloud.address}}\n", "");
        }
        text = text.replaceAll("\\{\\{[#/][^}]*}}\n", "");
        for (Map.Entry<String, String> value : values.entrySet()) {
            text = text.replace("{{" + value.getKey() + "}}", value.getValue());
        }
        return text.replaceAll("\\{\\{[^}]*}}", "");
    }

    boolean isReady(Gateway gateway) {
        try {
            return call(gateway.statusPort, "GET", "/-/readiness", Map.of("Host", "ready"), new byte[0], 1_000).status
                    == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** What a client got: status 0 without an answer; whether the answer was complete by its framing. */
    record Answer(int status, Map<String, String> headers, byte[] body, boolean complete, String end) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Sends a request on a new connection and reads the answer to its end. */
    static Answer call(
            int port, String method, String path, Map<String, String> headers, byte[] body, int timeoutMillis)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMillis);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            if (body.length > 0 || method.equals("POST")) {
                head.append("Content-Length: ").append(body.length).append("\r\n");
            }
            OutputStream out = socket.getOutputStream();
            out.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
            return readAnswer(new BufferedInputStream(socket.getInputStream()));
        }
    }

    static Answer readAnswer(InputStream in) {
        int status = 0;
        Map<String, String> headers = new LinkedHashMap<>();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            String first = line(in);
            status = Integer.parseInt(first.split(" ")[1]);
            for (String line = line(in); !line.isEmpty(); line = line(in)) {
                int colon = line.indexOf(':');
                headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
            }
            if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
                while (true) {
                    int length = Integer.parseInt(line(in).trim(), 16);
                    body.write(exactly(in, length));
                    line(in);
                    if (length == 0) {
                        return new Answer(status, headers, body.toByteArray(), true, "last chunk");
                    }
                }
            }
            if (headers.containsKey("content-length")) {
                body.write(exactly(in, Integer.parseInt(headers.get("content-length"))));
                return new Answer(status, headers, body.toByteArray(), true, "length reached");
            }
            in.transferTo(body);
            return new Answer(status, headers, body.toByteArray(), true, "closed");
        } catch (IOException | RuntimeException e) {
            return new Answer(status, headers, body.toByteArray(), false, String.valueOf(e));
        }
    }

    static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException(bytes.length + " of " + length + " bytes");
        }
        return bytes;
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException("end of the connection");
            }
            line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1).replaceFirst("\r$", "");
    }

    /** The head of a request at a stand-in of a server. */
    record Head(String method, String path, Map<String, String> headers, int length) {
        String id() {
            return headers.getOrDefault("x-attempt-id", "");
        }
    }

    /** Reads the head of the next request; null at the end of the connection. */
    static Head readHead(InputStream in) throws IOException {
        String first;
        try {
            first = line(in);
        } catch (EOFException e) {
            return null;
        }
        String[] words = first.split(" ");
        Map<String, String> headers = new TreeMap<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return new Head(words[0], words[1], headers, Integer.parseInt(headers.getOrDefault("content-length", "0")));
    }

    /** Starts a sound server as a process of its own and registers it; its runs go into the record. */
    Process startServer(String id, String service, int slots, long workMillis) throws IOException {
        return startServer("SoundServer", id, service, slots, workMillis);
    }

    /** Starts a server of a class as a process of its own and registers it. */
    Process startServer(String serverClass, String id, String service, int slots, long argument) throws IOException {
        Process process = new ProcessBuilder(
                        ProcessHandle.current().info().command().orElseThrow(),
                        "-Xmx64m",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        serverClass,
                        id,
                        Long.toString(argument))
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        servers.add(process);
        BufferedReader output = process.inputReader();
        int port = Integer.parseInt(output.readLine().substring("port ".length()));
        Thread.ofVirtual().start(() -> output.lines().forEach(line -> log(id + ": " + line)));
        register(id, service, port, slots);
        log(id + " started");
        return process;
    }

    /** What a stand-in of a server does with one connection. */
    interface Connection {
        void serve(Socket socket, InputStream in, OutputStream out) throws Exception;
    }

    /** Listens at a port of its own and serves each connection in a thread. */
    static int serve(Connection connection) throws IOException {
        return serve(connection, new ServerSocket());
    }

    /** Listens with a socket that isn't bound yet. */
    static int serve(Connection connection, ServerSocket listener) throws IOException {
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
        Thread.ofPlatform().daemon().start(() -> {
            while (true) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    Thread.ofVirtual().start(() -> {
                        try (socket) {
                            connection.serve(
                                    socket, new BufferedInputStream(socket.getInputStream()), socket.getOutputStream());
                        } catch (Exception e) {
                            // The peer has closed the connection.
                        }
                    });
                } catch (IOException e) {
                    return;
                }
            }
        });
        return listener.getLocalPort();
    }

    /** Registers a server as ready; it renews its entry until it has crashed. */
    void register(String id, String service, int port, int slots) {
        entries.put(
                id,
                "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"kita-hall\",\"version\":\"v1\",\"slots\":%d,\"state\":\"ready\",\"coldLeftMs\":0"
                        .formatted(service, port, slots));
        beat(id);
    }

    private void beat(String id) {
        String entry = entries.get(id);
        if (entry != null) {
            store.put("servers/" + id, entry + ",\"sequence\":" + beats.incrementAndGet() + "}");
        }
    }

    private void beatAll() {
        try {
            while (true) {
                Thread.sleep(HEARTBEAT_MILLIS);
                synchronized (entries) {
                    entries.keySet().forEach(this::beat);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends the renewal of the entry of a server that has crashed. */
    void crashed(String id) {
        synchronized (entries) {
            entries.remove(id);
        }
    }

    /** Writes a configuration; its acknowledgement is the return of this call. */
    void configure(long version, String routes, String services, String tenants) {
        store.put(
                "op/config",
                ("{\"version\":%d,\"routes\":[%s],\"services\":[%s],\"limits\":{\"maxHeaderBytes\":16384,"
                                + "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}%s}")
                        .formatted(version, routes, services, tenants.isEmpty() ? "" : ",\"tenants\":[" + tenants + "]"));
        log("configuration " + version + " acknowledged");
    }

    static String route(String prefix, String type, String service, int timeoutMillis, String more) {
        return ("{\"name\":\"r%s\",\"hostname\":\"ficu95.example\",\"prefix\":\"%s\",\"routeType\":\"%s\","
                        + "\"timeoutMs\":%d,\"targetLatencyMs\":300,\"priority\":1,\"service\":\"%s\","
                        + "\"maxAttempts\":1,\"sticky\":false,\"resumable\":false%s}")
                .formatted(prefix.replace("/", ""), prefix, type, timeoutMillis, service, more);
    }

    static String service(String name) {
        return "{\"name\":\"%s\",\"healthPath\":\"/health\",\"maxConnections\":300,\"protocol\":\"h1\",\"tls\":false}"
                .formatted(name);
    }

    /** Ends the processes and the record. */
    @Override
    public void close() throws Exception {
        for (Gateway gateway : gateways) {
            gateway.process.destroyForcibly().waitFor();
        }
        for (Process server : servers) {
            server.destroyForcibly().waitFor();
        }
        log("ended all processes");
        store.close();
        synchronized (this) {
            closed = true;
            record.close();
        }
        try (var files = Files.list(temporary)) {
            for (Path file : files.toList()) {
                if (System.getenv("KEEP") != null) {
                    Files.copy(file, Path.of(System.getenv("KEEP")).resolve(file.getFileName()),
                            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                }
                Files.delete(file);
            }
        }
        Files.delete(temporary);
    }

    /** A case: returns its exit code. */
    interface Case {
        int run(CaseRig rig) throws Exception;
    }

    static void play(String[] args, Case played) throws Exception {
        int code = COULD_NOT_RUN;
        try (CaseRig rig = new CaseRig(args[0])) {
            try {
                code = played.run(rig);
            } catch (Exception e) {
                rig.log("could not run: " + e);
                e.printStackTrace();
            }
            rig.log(code == HELD ? "the rule held" : code == BROKEN ? "the rule was broken" : "the case could not run");
        }
        System.exit(code);
    }
}
