import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** A server that leaves is gone two and a half seconds after its notice, while it sends answers without a length. */
final class UnframedLeaving {
    /** {@code drainMs} of the site. */
    private static final long DRAIN_MILLIS = 2_000;
    /** How long the server goes on after {@code drainMs}. */
    private static final long LITTLE_LONGER_MILLIS = 500;
    /** {@code contactMs} of the site: from then on the gateway is in touch. */
    private static final long IN_TOUCH_MILLIS = 3_000;
    private static final long HEARTBEAT_MILLIS = 1_200;
    private static final int STREAMS = 5;

    private static volatile String state;

    private UnframedLeaving() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = Rig.CANNOT_RUN;
        Process server = null;
        try (Rig rig = new Rig(Path.of(args[0]))) {
            server = new ProcessBuilder(System.getProperty("java.home") + "/bin/java", "-Xmx64m", "-cp",
                    System.getProperty("java.class.path"), "UnframedServer", "i-1")
                    .redirectError(ProcessBuilder.Redirect.DISCARD).start();
            Process started = server;
            // Also ends the server if this process is stopped before its end.
            Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
            exit = run(rig, server, trouble);
            rig.log("exit code " + exit);
        } catch (Exception e) {
            e.printStackTrace();
        } finally {
            if (server != null) {
                server.destroyForcibly().waitFor();
            }
        }
        System.exit(exit);
    }

    private static int run(Rig rig, Process server, boolean trouble) throws Exception {
        int port = Integer.parseInt(new BufferedReader(new InputStreamReader(server.getInputStream())).readLine());
        rig.log("server i-1 is process " + server.pid() + " and serves at port " + port);
        rig.store.put("op/config", ("{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"hostname\":\"shop.example\",\"prefix\":\"/ask/\","
                + "\"routeType\":\"streaming\",\"timeoutMs\":15000,\"targetLatencyMs\":250,\"priority\":0,\"service\":\"llm\",\"maxAttempts\":1,"
                + "\"public\":false,\"sticky\":true,\"resumable\":false,\"targetGapMs\":120}],\"services\":[{\"name\":\"llm\",\"healthPath\":\"/health\","
                + "\"maxConnections\":300,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
                + "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"club\","
                + "\"apiKeys\":[\"key1\"],\"priority\":1}]}").getBytes(StandardCharsets.UTF_8));
        AtomicLong sequence = new AtomicLong();
        state = "ready";
        beat(rig, port, sequence);
        Rig.daemon(() -> {
            while (server.isAlive()) {
                Rig.sleep(HEARTBEAT_MILLIS);
                if (server.isAlive()) {
                    beat(rig, port, sequence);
                }
            }
        });
        Rig.Gateway gateway = rig.startGateway("front-1");
        if (!gateway.awaitReady(20_000)) {
            return Rig.CANNOT_RUN;
        }
        Rig.sleep(IN_TOUCH_MILLIS);
        CountDownLatch ended = new CountDownLatch(STREAMS);
        AtomicLong falselyComplete = new AtomicLong();
        AtomicLong whole = new AtomicLong();
        for (int i = 0; i < STREAMS; i++) {
            Rig.daemon(() -> {
                ask(rig, gateway, falselyComplete, whole);
                ended.countDown();
            });
        }
        Rig.sleep(500);
        state = "draining";
        beat(rig, port, sequence);
        rig.log("server i-1 reports draining, acknowledged by the store");
        if (trouble) {
            Rig.sleep(DRAIN_MILLIS + LITTLE_LONGER_MILLIS);
            server.destroyForcibly().waitFor();
            rig.log("server i-1 is gone (SIGKILL), " + (DRAIN_MILLIS + LITTLE_LONGER_MILLIS) + " ms after its notice");
        }
        if (!ended.await(20, TimeUnit.SECONDS)) {
            rig.log("a stream has no end");
            return Rig.CANNOT_RUN;
        }
        if (trouble) {
            rig.log("a new connection to server i-1: " + connect(port));
        }
        rig.log("streams that came whole: " + whole + "; that ended as complete before their last piece: " + falselyComplete);
        return falselyComplete.get() > 0 ? 1 : 0;
    }

    private static String connect(int port) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
            return "accepted";
        } catch (IOException e) {
            return e.getMessage();
        }
    }

    /** Writes the server's entry in the store, in the server's stead; returns when the store has acknowledged it. */
    private static synchronized void beat(Rig rig, int port, AtomicLong sequence) {
        rig.store.put("servers/i-1", ("{\"service\":\"llm\",\"address\":\"127.0.0.1:" + port
                + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":48,\"state\":\"" + state + "\",\"coldLeftMs\":0,\"sequence\":"
                + sequence.incrementAndGet() + "}").getBytes(StandardCharsets.UTF_8));
    }

    private static void ask(Rig rig, Rig.Gateway gateway, AtomicLong falselyComplete, AtomicLong whole) {
        String id = rig.newId();
        int pieces = 0;
        String end;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", gateway.port), 1_000);
            socket.setSoTimeout(5_000);
            socket.getOutputStream().write(("POST /ask/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + id
                    + "\r\nX-Deadline-Ms: 15000\r\nX-Model: m\r\nX-Token-Count: 800,200\r\nX-Prompt-Prefix: 5c1e07a2:198,"
                    + id + ":602\r\nAuthorization: Token key1\r\nContent-Length: 2\r\n\r\nhi").getBytes(StandardCharsets.US_ASCII));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Rig.Head head = Rig.Http.readHead(in);
            rig.log("request " + id + ": " + head.first() + ", chunked " + head.chunked());
            if (head.status() != 200 || !head.chunked()) {
                return;
            }
            for (int size = Rig.Http.chunkSize(in); size > 0; size = Rig.Http.chunkSize(in)) {
                pieces += new String(Rig.Http.exactly(in, size), StandardCharsets.US_ASCII).split("\n\n").length;
                Rig.Http.line(in);
            }
            Rig.Http.line(in);
            end = "the answer ends as complete";
            (pieces == UnframedServer.EVENTS ? whole : falselyComplete).incrementAndGet();
        } catch (IOException e) {
            end = "the answer breaks off: " + e;
        }
        rig.log("request " + id + ": " + pieces + " of " + UnframedServer.EVENTS + " pieces, " + end);
    }
}
