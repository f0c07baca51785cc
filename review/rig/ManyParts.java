import java.io.BufferedInputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Deque;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** One tenant sends many times its usual; its prompts are chats of many short messages. */
final class ManyParts {
    private static final int SERVERS = 13;
    private static final long CAPACITY_TOKENS = 1_239_967;
    private static final int TIMEOUT_MILLIS = 5_000;
    private static final int DEADLINE_MILLIS = 8_000;
    /** Clients leave a stream after eight times the pause that its route names. */
    private static final int GIVE_UP_MILLIS = 6_400;

    private static final int MESSAGES = 400;
    private static final int TOKENS_PER_MESSAGE = 8;
    private static final double USUAL_PER_SECOND = 6;
    private static final double TIMES_USUAL = 6;
    private static final int HOT_SECONDS = 11;
    private static final int CALM_SECONDS = 9;
    private static final int TIMES = 4;

    private static final Deque<Socket> KEPT = new ConcurrentLinkedDeque<>();
    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger UNANSWERED_AT_TIMEOUT = new AtomicInteger();
    private static final AtomicInteger UNANSWERED_LATER = new AtomicInteger();

    private ManyParts() {}

    public static void main(String[] args) throws Exception {
        CaseRig.play(args, ManyParts::run);
    }

    private static int run(CaseRig rig) throws Exception {
        StringBuilder events = new StringBuilder();
        for (int event = 1; event <= 10; event++) {
            events.append("id: ").append(event).append("\ndata: word\n\n");
        }
        for (int i = 0; i < SERVERS; i++) {
            int port = CaseRig.serve((socket, in, out) -> {
                for (CaseRig.Head head = CaseRig.readHead(in); head != null; head = CaseRig.readHead(in)) {
                    CaseRig.exactly(in, head.length());
                    Thread.sleep(60);
                    out.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + head.id()
                                    + "\r\nX-Server-Seal: 3e1b.07\r\nContent-Type: text/event-stream\r\n"
                                    + "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(events.length())
                                    + "\r\n" + events + "\r\n0\r\n\r\n")
                            .getBytes());
                }
            });
            rig.register("i-7f3a91c" + i, "huvo11a", port, 96);
        }
        rig.configure(
                7,
                CaseRig.route("/lohu930/", "streaming", "huvo11a", TIMEOUT_MILLIS, ",\"public\":false,\"targetGapMs\":800")
                        .replace("\"sticky\":false", "\"sticky\":true")
                        .replace("\"targetLatencyMs\":300", "\"targetLatencyMs\":1000"),
                CaseRig.service("huvo11a")
                        .replace(
                                "}",
                                ",\"engine\":{\"slots\":96,\"kvCapacityTokens\":" + CAPACITY_TOKENS
                                        + ",\"kvTokenBytes\":163840,\"linkMbps\":740000.0,\"models\":[{\"name\":\"m\"}]}}"),
                "{\"name\":\"huka270\",\"apiKeys\":[\"xd9dnn2ctnfzs989anu6\"],\"priority\":1},"
                        + "{\"name\":\"puhu251\",\"apiKeys\":[\"wsjnbanfqasnmgkcuyj8\"],\"priority\":1}");
        CaseRig.Gateway gateway = rig.startGateway("front-lisboa-a-1", Map.of());
        try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            Random random = new Random(1);
            int sent = 0;
            long nextMillis = rig.millis();
            long startMillis = nextMillis;
            long endMillis = startMillis + 1_000L * TIMES * (HOT_SECONDS + CALM_SECONDS);
            boolean wasHot = false;
            while (nextMillis < endMillis && gateway.process().isAlive()) {
                boolean hot = rig.trouble
                        && (nextMillis - startMillis) / 1000 % (HOT_SECONDS + CALM_SECONDS) >= CALM_SECONDS;
                if (hot != wasHot) {
                    rig.log((hot ? "one tenant sends many times its usual from here on" : "as usual from here on")
                            + "; sent " + sent + ", served " + SERVED + ", ready " + rig.isReady(gateway));
                    wasHot = hot;
                }
                int number = sent++;
                boolean other = random.nextDouble() * (1 + (hot ? TIMES_USUAL : 1)) < 1;
                String prefix = prefix(random);
                callers.submit(() -> send(
                        rig,
                        gateway,
                        (other ? "puhu251-" : "huka270-") + number,
                        other ? "wsjnbanfqasnmgkcuyj8" : "xd9dnn2ctnfzs989anu6",
                        prefix));
                nextMillis += (long) (1_000 / (USUAL_PER_SECOND * (1 + (hot ? TIMES_USUAL : 1))));
                Thread.sleep(Math.max(0, nextMillis - rig.millis()));
            }
            rig.log("sent " + sent);
        }
        boolean ended = gateway.process().waitFor(1, TimeUnit.SECONDS);
        rig.log("served " + SERVED + "; unanswered at the route's timeout " + UNANSWERED_AT_TIMEOUT
                + ", of these without an answer half a second later " + UNANSWERED_LATER + "; the gateway "
                + (ended ? "ended by itself with code " + gateway.process().exitValue() : "runs"));
        if (SERVED.get() < 100) {
            return CaseRig.COULD_NOT_RUN;
        }
        boolean silent = UNANSWERED_LATER.get() >= 8 && UNANSWERED_LATER.get() > UNANSWERED_AT_TIMEOUT.get() / 2;
        return silent || ended ? CaseRig.BROKEN : CaseRig.HELD;
    }

    /** Returns the parts of a chat: a system prompt that all share, its messages so far, and the newest one. */
    private static String prefix(Random random) {
        StringBuilder prefix = new StringBuilder("5c1e07a2:350");
        for (int i = 0; i < MESSAGES; i++) {
            prefix.append(',').append(Integer.toHexString(random.nextInt())).append(':').append(TOKENS_PER_MESSAGE);
        }
        return prefix.append(",e4402b7d:250").toString();
    }

    private static void send(CaseRig rig, CaseRig.Gateway gateway, String id, String key, String prefix) {
        long sentMillis = rig.millis();
        String end;
        boolean answered = false;
        try {
            Socket socket = KEPT.poll();
            if (socket == null) {
                socket = new Socket();
                socket.connect(new InetSocketAddress("127.0.0.1", gateway.port()), 1_000);
                socket.setTcpNoDelay(true);
            }
            socket.setSoTimeout(GIVE_UP_MILLIS);
            socket.getOutputStream()
                    .write(("POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: " + id
                                    + "\r\nX-Deadline-Ms: " + DEADLINE_MILLIS + "\r\nAuthorization: Token " + key
                                    + "\r\nX-Model: m\r\nX-Token-Count: " + (600 + MESSAGES * TOKENS_PER_MESSAGE)
                                    + ",50\r\nX-Prompt-Prefix: " + prefix + "\r\nContent-Length: 6\r\n\r\nprompt")
                            .getBytes());
            CaseRig.Answer answer = CaseRig.readAnswer(new BufferedInputStream(socket.getInputStream()));
            answered = answer.status() != 0 && answer.complete();
            end = answer.status() + " " + answer.end();
            if (answer.status() == 200 && answer.complete()) {
                SERVED.incrementAndGet();
            }
            if (answered && !"close".equalsIgnoreCase(answer.headers().get("connection"))) {
                KEPT.add(socket);
            } else {
                socket.close();
            }
        } catch (Exception e) {
            end = e.toString();
            if (rig.millis() - sentMillis < 1_100) {
                // The gateway did not take the connection.
                rig.log("client got no connection for " + id + ": " + end);
                return;
            }
        }
        long tookMillis = rig.millis() - sentMillis;
        UNANSWERED_AT_TIMEOUT.addAndGet(tookMillis > TIMEOUT_MILLIS ? 1 : 0);
        UNANSWERED_LATER.addAndGet(tookMillis > TIMEOUT_MILLIS + 500 ? 1 : 0);
        rig.log("client got " + end + " for " + id + " after " + tookMillis + " ms");
    }
}
