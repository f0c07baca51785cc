import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What the cases share: a stand-in of the platform's store, of servers and of clients, and gateway processes. */
final class Rig implements AutoCloseable {
    /** The case could not run. */
    static final int CANNOT_RUN = 2;

    private static final long STARTED_NANOS = System.nanoTime();
    private final PrintWriter record;
    final Store store;
    /** {@code retryBudgetSlack} of the site. */
    String retrySlack = "54";
    final List<Gateway> gateways = new ArrayList<>();
    final List<Server> servers = new ArrayList<>();
    private final Path folder;
    private final AtomicLong lastId = new AtomicLong(System.nanoTime() & 0xffffffL);

    Rig(Path recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        folder = Files.createTempDirectory("review");
        store = new Store();
        // Also ends the processes if this one is stopped before its end.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> gateways.forEach(Gateway::kill)));
    }

    /** Returns the time since the start of the case, in milliseconds. */
    static long now() {
        return (System.nanoTime() - STARTED_NANOS) / 1_000_000;
    }

    synchronized void log(String text) {
        record.println(String.format(Locale.ROOT, "%8.3f s  %s", now() / 1000.0, text));
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static void sleepUntil(long atMillis) {
        sleep(atMillis - now());
    }

    static void daemon(Runnable task) {
        Thread.ofPlatform().daemon().start(task);
    }

    String newId() {
        return String.format("%016x", lastId.incrementAndGet() * 0x9e3779b97f4a7c15L);
    }

    @Override
    public void close() {
        gateways.forEach(Gateway::kill);
        servers.forEach(Server::close);
        store.close();
        try (var files = Files.walk(folder)) {
            files.sorted((a, b) -> b.compareTo(a)).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            log("could not remove the temporary folder: " + e);
        }
        record.close();
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    // ---- gateway processes

    /** A gateway process, started with the command of the deploy file. */
    final class Gateway {
        final String name;
        final int port;
        final int readyPort;
        private final Process process;

        Gateway(String name) throws IOException {
            this.name = name;
            this.port = freePort();
            this.readyPort = freePort();
            Map<String, String> values = new HashMap<>();
            values.put("nodeName", name);
            values.put("zone", "zone-a");
            values.put("ip", "127.0.0.1");
            values.put("listen.front", "127.0.0.1:" + port);
            values.put("listen.ready", "127.0.0.1:" + readyPort);
            values.put("internalPorts.0", Integer.toString(freePort()));
            values.put("platform.address", "127.0.0.1:" + store.port());
            values.put("bootstrap", "true");
            values.put("bounds.graceS", "8");
            values.put("bounds.retryBudgetRatio", "0.2");
            values.put("bounds.retryBudgetSlack", retrySlack);
            values.put("bounds.budgetWindowS", "10");
            values.put("limits.cpuShare", "0.57");
            values.put("limits.cores", "1");
            String text = render(Files.readString(Path.of("deploy/gateway.ini")), values)
                    .replace("metrics = 127.0.0.1:9464\n", "metrics = 127.0.0.1:" + freePort() + "\n");
            Path settings = folder.resolve(name + ".ini");
            Files.writeString(settings, text);
            ProcessBuilder builder = new ProcessBuilder(runCommand().split(" +"));
            builder.environment().put("TANAGERHINGE_BOOT", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(folder.resolve(name + ".log").toFile());
            process = builder.start();
            log("started " + name + " as process " + process.pid() + ", clients at port " + port);
        }

        void kill() {
            process.destroyForcibly();
            try {
                process.waitFor();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        boolean alive() {
            return process.isAlive();
        }

        boolean ready() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", readyPort), 500);
                socket.setSoTimeout(1_000);
                socket.getOutputStream().write(
                        "GET /-/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                return Http.readHead(new BufferedInputStream(socket.getInputStream())).first.contains(" 200 ");
            } catch (IOException e) {
                return false;
            }
        }

        boolean awaitReady(long millis) {
            long end = now() + millis;
            while (now() < end) {
                if (ready()) {
                    log(name + " is ready");
                    return true;
                }
                sleep(100);
            }
            log(name + " is not ready after " + millis + " ms");
            return false;
        }

        /** Copies what the process has written to the record. */
        void recordOutput(Pattern lines) {
            try {
                for (String line : Files.readAllLines(folder.resolve(name + ".log"))) {
                    if (lines.matcher(line).find()) {
                        log("output of " + name + ": " + line);
                    }
                }
            } catch (IOException e) {
                log("no output of " + name + ": " + e);
            }
        }
    }

    Gateway startGateway(String name) throws IOException {
        Gateway gateway = new Gateway(name);
        gateways.add(gateway);
        return gateway;
    }

    private static String runCommand() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("no run command in deploy/system.toml");
        }
        return run.group(1);
    }

    /** Fills in the template of the settings as the platform does. */
    private static String render(String template, Map<String, String> values) {
        String text = template;
        Pattern section = Pattern.compile("(?s)\\{\\{#([\\w.]+)}}\\n?(.*?)\\{\\{/\\1}}\\n?");
        for (Matcher found = section.matcher(text); found.find(); found = section.matcher(text)) {
            String inner = values.containsKey(found.group(1)) ? found.group(2) : "";
            text = text.substring(0, found.start()) + inner + text.substring(found.end());
        }
        Matcher field = Pattern.compile("\\{\\{([\\w.]+)}}").matcher(text);
        StringBuilder filled = new StringBuilder();
        while (field.find()) {
            field.appendReplacement(filled, values.getOrDefault(field.group(1), ""));
        }
        field.appendTail(filled);
        return filled.toString();
    }

    // ---- HTTP

    /** The first line and the headers of a message. */
    record Head(String first, Map<String, String> headers) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        boolean chunked() {
            return header("transfer-encoding").equalsIgnoreCase("chunked");
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }
    }

    static final class Http {
        static Head readHead(InputStream in) throws IOException {
            String first = line(in);
            Map<String, String> headers = new LinkedHashMap<>();
            for (String line = line(in); !line.isEmpty(); line = line(in)) {
                int colon = line.indexOf(':');
                headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
            }
            return new Head(first, headers);
        }

        static String line(InputStream in) throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int b = in.read(); b != '\n'; b = in.read()) {
                if (b < 0) {
                    throw new EOFException("connection ended");
                }
                if (b != '\r') {
                    line.write(b);
                }
            }
            return line.toString(StandardCharsets.ISO_8859_1);
        }

        static byte[] readBody(InputStream in, Head head) throws IOException {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            if (head.chunked()) {
                for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                    body.write(exactly(in, size));
                    line(in);
                }
                line(in);
            } else if (!head.header("content-length").isEmpty()) {
                body.write(exactly(in, Integer.parseInt(head.header("content-length"))));
            }
            return body.toByteArray();
        }

        static int chunkSize(InputStream in) throws IOException {
            return Integer.parseInt(line(in).trim(), 16);
        }

        static byte[] exactly(InputStream in, int length) throws IOException {
            byte[] bytes = in.readNBytes(length);
            if (bytes.length < length) {
                throw new EOFException("connection ended after " + bytes.length + " of " + length + " bytes");
            }
            return bytes;
        }
    }

    // ---- servers

    /** Runs a request that a server has read, and writes the answer. */
    interface Work {
        void run(Head request, byte[] body, OutputStream out) throws IOException, InterruptedException;
    }

    /** A server of the platform: answers requests, and registers itself in the store. */
    final class Server {
        final String id;
        final String service;
        volatile String state = "ready";
        volatile Work work;
        private final ServerSocket listener;
        private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
        private boolean registered = true;
        private int sequence;

        Server(String id, String service, Work work) throws IOException {
            this.id = id;
            this.service = service;
            this.work = work;
            listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
            daemon(this::accept);
            beat();
            daemon(() -> {
                while (!listener.isClosed()) {
                    sleep(1_200);
                    beat();
                }
            });
            log("server " + id + " of " + service + " serves at port " + listener.getLocalPort());
        }

        /** Writes the entry in the store; returns when the store has acknowledged it. */
        synchronized void beat() {
            if (!registered) {
                return;
            }
            sequence++;
            store.put("servers/" + id, ("{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:"
                    + listener.getLocalPort() + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"" + state
                    + "\",\"coldLeftMs\":0,\"sequence\":" + sequence + "}").getBytes(StandardCharsets.UTF_8));
        }

        void drain() {
            state = "draining";
            beat();
            log("server " + id + " reports draining, acknowledged by the store");
        }

        /** Removes the entry, as at the end of a planned shutdown. */
        synchronized void leave() {
            registered = false;
            store.remove("servers/" + id);
            log("server " + id + " has left: its entry is removed");
        }

        private void accept() {
            try {
                while (true) {
                    Socket connection = listener.accept();
                    connection.setTcpNoDelay(true);
                    connections.add(connection);
                    daemon(() -> serve(connection));
                }
            } catch (IOException e) {
                // The server has ended.
            }
        }

        private void serve(Socket connection) {
            try (connection) {
                InputStream in = new BufferedInputStream(connection.getInputStream());
                OutputStream out = connection.getOutputStream();
                while (true) {
                    Head head = Http.readHead(in);
                    byte[] body = Http.readBody(in, head);
                    String expected = head.header("X-Expect-Instance");
                    if (!expected.isEmpty() && !expected.equals(id)) {
                        out.write(("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + id
                                + "\r\nContent-Length: 0\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                        continue;
                    }
                    work.run(head, body, out);
                }
            } catch (IOException | InterruptedException e) {
                // The connection has ended.
            } finally {
                connections.remove(connection);
            }
        }

        /** Ends the server: its connections are closed, and new ones are refused. */
        void close() {
            try {
                listener.close();
                for (Socket connection : connections) {
                    connection.close();
                }
            } catch (IOException e) {
                log("could not close " + id + ": " + e);
            }
        }
    }

    Server startServer(String id, String service, Work work) throws IOException {
        Server server = new Server(id, service, work);
        servers.add(server);
        return server;
    }

    /** Writes a whole answer with the server's signature. */
    static void answer(OutputStream out, Head request, byte[] body) throws IOException {
        out.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.header("X-Attempt-Id") + "\r\nX-Server-Seal: "
                + seal(request, body) + "\r\nContent-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        out.write(body);
        out.flush();
    }

    static String seal(Head request, byte[] body) {
        return Integer.toHexString((request.header("X-Attempt-Id") + body.length).hashCode());
    }

    // ---- the store

    /** The platform's store: keys with revisions, conditional writes, watches and leases. */
    static final class Store {
        private record Item(byte[] value, long revision, long created, long lease) {}

        private record Change(String key, Item item, long revision) {}

        private final HttpServer http;
        private final TreeMap<String, Item> items = new TreeMap<>();
        private final List<Change> history = new ArrayList<>();
        private final Map<Long, Long> leaseEnds = new HashMap<>();
        private final Map<Long, Long> leaseTtls = new HashMap<>();
        private long revision = 1;
        private long lastLease = 100;

        Store() throws IOException {
            http = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 200);
            http.setExecutor(Executors.newCachedThreadPool(task -> {
                Thread thread = new Thread(task);
                thread.setDaemon(true);
                return thread;
            }));
            http.createContext("/", this::handle);
            http.start();
            daemon(() -> {
                while (true) {
                    sleep(100);
                    expire();
                }
            });
        }

        int port() {
            return http.getAddress().getPort();
        }

        void close() {
            http.stop(0);
        }

        synchronized void put(String key, byte[] value) {
            put(key, value, 0);
        }

        private void put(String key, byte[] value, long lease) {
            revision++;
            Item before = items.get(key);
            Item item = new Item(value, revision, before == null ? revision : before.created(), lease);
            items.put(key, item);
            history.add(new Change(key, item, revision));
            notifyAll();
        }

        synchronized void remove(String key) {
            if (items.remove(key) != null) {
                revision++;
                history.add(new Change(key, null, revision));
                notifyAll();
            }
        }

        private synchronized void expire() {
            List<Long> ended = leaseEnds.entrySet().stream().filter(lease -> lease.getValue() < now()).map(Map.Entry::getKey).toList();
            ended.forEach(this::endLease);
        }

        private void endLease(long lease) {
            leaseEnds.remove(lease);
            leaseTtls.remove(lease);
            List<String> keys = items.entrySet().stream().filter(item -> item.getValue().lease() == lease).map(Map.Entry::getKey).toList();
            keys.forEach(this::remove);
        }

        private void handle(HttpExchange exchange) throws IOException {
            byte[] body = exchange.getRequestBody().readAllBytes();
            String path = exchange.getRequestURI().getPath();
            Map<String, String> query = new HashMap<>();
            String raw = exchange.getRequestURI().getRawQuery();
            for (String part : raw == null ? new String[0] : raw.split("&")) {
                int equals = part.indexOf('=');
                query.put(part.substring(0, equals), URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
            }
            StringBuilder text = new StringBuilder();
            int status;
            try {
                status = call(exchange.getRequestMethod() + " " + path, query, new String(body, StandardCharsets.UTF_8), text);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            byte[] answer = text.toString().getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(status, answer.length == 0 ? -1 : answer.length);
            try (OutputStream out = exchange.getResponseBody()) {
                if (answer.length > 0) {
                    out.write(answer);
                }
            }
        }

        private synchronized int call(String call, Map<String, String> query, String body, StringBuilder out)
                throws InterruptedException {
            if (call.equals("GET /-/kv-key")) {
                Item item = items.get(query.get("key"));
                out.append(item == null ? "{" : json(query.get("key"), item).replaceFirst("}$", ","));
                out.append("\"storeRevision\":").append(revision).append("}");
                return item == null ? 404 : 200;
            }
            if (call.equals("GET /-/kv-range")) {
                String prefix = query.get("prefix");
                String after = query.getOrDefault("after", "");
                List<String> found = new ArrayList<>();
                boolean truncated = false;
                for (Map.Entry<String, Item> item : items.tailMap(prefix, true).entrySet()) {
                    if (!item.getKey().startsWith(prefix)) {
                        break;
                    }
                    if (item.getKey().compareTo(after) > 0) {
                        if (found.size() == 500) {
                            truncated = true;
                            break;
                        }
                        found.add(json(item.getKey(), item.getValue()));
                    }
                }
                out.append("{\"items\":[").append(String.join(",", found)).append("],\"truncated\":").append(truncated)
                        .append(",\"storeRevision\":").append(revision).append("}");
                return 200;
            }
            if (call.equals("GET /-/kv-watch")) {
                String prefix = query.get("prefix");
                long after = Long.parseLong(query.get("after"));
                long end = now() + Long.parseLong(query.get("waitMs"));
                while (true) {
                    List<String> events = history.stream()
                            .filter(change -> change.revision() > after && change.key().startsWith(prefix))
                            .map(change -> change.item() == null
                                    ? "{\"key\":\"" + change.key() + "\",\"revision\":" + change.revision() + ",\"tombstone\":true}"
                                    : json(change.key(), change.item()))
                            .toList();
                    long left = end - now();
                    if (!events.isEmpty() || left <= 0) {
                        out.append("{\"events\":[").append(String.join(",", events)).append("],\"storeRevision\":")
                                .append(revision).append("}");
                        return 200;
                    }
                    wait(left);
                }
            }
            if (call.equals("POST /-/kv-txn")) {
                return transact(Json.object(body), out);
            }
            if (call.equals("POST /-/kv-lease")) {
                long ttl = Math.max(1_000, (Long) Json.object(body).get("ttlMs"));
                long lease = ++lastLease;
                leaseTtls.put(lease, ttl);
                leaseEnds.put(lease, now() + ttl);
                out.append("{\"lease\":").append(lease).append(",\"ttlMs\":").append(ttl).append("}");
                return 200;
            }
            if (call.startsWith("POST /-/kv-keep/")) {
                long lease = Long.parseLong(call.substring(call.lastIndexOf('/') + 1));
                if (!leaseTtls.containsKey(lease)) {
                    out.append("{}");
                    return 404;
                }
                leaseEnds.put(lease, now() + leaseTtls.get(lease));
                out.append("{\"lease\":").append(lease).append(",\"ttlMs\":").append(leaseTtls.get(lease)).append("}");
                return 200;
            }
            if (call.startsWith("DELETE /-/kv-lease-end/")) {
                endLease(Long.parseLong(call.substring(call.lastIndexOf('/') + 1)));
                out.append("{}");
                return 200;
            }
            out.append("{}");
            return 404;
        }

        @SuppressWarnings("unchecked")
        private int transact(Map<String, Object> body, StringBuilder out) {
            List<Object> expected = (List<Object>) body.getOrDefault("expectRev", List.of());
            boolean holds = true;
            List<String> current = new ArrayList<>();
            for (Object row : expected) {
                String key = (String) ((Map<String, Object>) row).get("key");
                Item item = items.get(key);
                holds &= (Long) ((Map<String, Object>) row).get("revision") == (item == null ? 0 : item.revision());
                current.add(item == null ? "{\"key\":\"" + key + "\",\"revision\":0}" : json(key, item));
            }
            if (!holds) {
                out.append("{\"items\":[").append(String.join(",", current)).append("]}");
                return 412;
            }
            List<Object> puts = (List<Object>) body.getOrDefault("puts", List.of());
            for (Object row : puts) {
                long lease = (Long) ((Map<String, Object>) row).getOrDefault("lease", 0L);
                if (lease != 0 && !leaseTtls.containsKey(lease)) {
                    out.append("{}");
                    return 404;
                }
            }
            for (Object row : puts) {
                Map<String, Object> put = (Map<String, Object>) row;
                put((String) put.get("key"), Base64.getDecoder().decode((String) put.get("value")), (Long) put.getOrDefault("lease", 0L));
            }
            for (Object key : (List<Object>) body.getOrDefault("remove", List.of())) {
                remove((String) key);
            }
            out.append("{\"revision\":").append(revision).append("}");
            return 200;
        }

        private static String json(String key, Item item) {
            return "{\"key\":\"" + key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(item.value()) + "\",\"revision\":"
                    + item.revision() + ",\"createdRev\":" + item.created() + ",\"lease\":" + item.lease() + "}";
        }
    }

    /** Reads the small JSON bodies that gateways send to the store. */
    static final class Json {
        private final String text;
        private int at;

        private Json(String text) {
            this.text = text;
        }

        @SuppressWarnings("unchecked")
        static Map<String, Object> object(String text) {
            return text.isBlank() ? Map.of() : (Map<String, Object>) new Json(text).value();
        }

        private char next() {
            while (Character.isWhitespace(text.charAt(at))) {
                at++;
            }
            return text.charAt(at);
        }

        private Object value() {
            char c = next();
            if (c == '{') {
                Map<String, Object> object = new LinkedHashMap<>();
                at++;
                while (next() != '}') {
                    String name = (String) value();
                    next();
                    at++;
                    object.put(name, value());
                    if (next() == ',') {
                        at++;
                    }
                }
                at++;
                return object;
            }
            if (c == '[') {
                List<Object> array = new ArrayList<>();
                at++;
                while (next() != ']') {
                    array.add(value());
                    if (next() == ',') {
                        at++;
                    }
                }
                at++;
                return array;
            }
            if (c == '"') {
                StringBuilder string = new StringBuilder();
                for (at++; text.charAt(at) != '"'; at++) {
                    string.append(text.charAt(at) == '\\' ? text.charAt(++at) : text.charAt(at));
                }
                at++;
                return string.toString();
            }
            int from = at;
            while (at < text.length() && ",]} \n".indexOf(text.charAt(at)) < 0) {
                at++;
            }
            String word = text.substring(from, at);
            return word.equals("true") || word.equals("false") ? (Object) Boolean.valueOf(word) : (Object) Long.valueOf(word);
        }
    }
}
