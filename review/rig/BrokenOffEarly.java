import java.net.ServerSocket;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** A server resets the connection of an answer without a length, before it has read all of a long request. */
final class BrokenOffEarly {
    private static final int BODY_BYTES = 4_190_000;
    /** What a server takes without reading; with more, the whole body may have been sent when it resets. */
    private static final int RECEIVE_BUFFER_BYTES = 16_384;

    private static final String FIRST = "first half;".repeat(100);
    private static final String SECOND = "second half".repeat(100);
    private static final int REQUESTS = 120;
    /** The server is faulty for the first 28 of 40 requests, some five seconds, and breaks off one of their answers. */
    private static final int PERIOD = 40;

    private static final int FAULTY = 28;
    private static final int BROKEN_OFF = 10;

    private BrokenOffEarly() {}

    public static void main(String[] args) throws Exception {
        CaseRig.play(args, BrokenOffEarly::run);
    }

    private static int run(CaseRig rig) throws Exception {
        AtomicInteger answers = new AtomicInteger();
        ServerSocket listener = new ServerSocket();
        listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        CaseRig.Connection connection = (socket, in, out) -> {
            CaseRig.Head head = CaseRig.readHead(in);
            if (head == null) {
                return;
            }
            CaseRig.exactly(in, 16_384);
            boolean breaksOff = rig.trouble && answers.getAndIncrement() % PERIOD == BROKEN_OFF;
            out.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + head.id()
                            + "\r\nX-Server-Seal: 3e1b.07\r\nContent-Type: text/plain\r\n\r\n" + FIRST)
                    .getBytes());
            Thread.sleep(150);
            if (breaksOff) {
                rig.log("server resets the connection of " + head.id() + " after the first half");
                reset(socket);
                return;
            }
            CaseRig.exactly(in, head.length() - 16_384);
            out.write(SECOND.getBytes());
        };
        rig.register("i-7f3a91c2", "huvo11a", CaseRig.serve(connection, listener), 6);
        rig.configure(
                7,
                CaseRig.route("/pule252/", "unsafe", "huvo11a", 5_000, ",\"public\":true"),
                CaseRig.service("huvo11a"),
                "");
        CaseRig.Gateway gateway = rig.startGateway("front-kita-hall-1", Map.of());
        int wrong = 0;
        int whole = 0;
        for (int i = 0; i < REQUESTS; i++) {
            if (rig.trouble && (i % PERIOD == 0 || i % PERIOD == FAULTY)) {
                rig.log(i % PERIOD == 0 ? "the server is faulty from here on" : "the server is sound from here on");
            }
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("Host", "ficu95.example");
            headers.put("X-Attempt-Id", "attempt-" + i);
            headers.put("X-Deadline-Ms", "5000");
            CaseRig.Answer answer =
                    CaseRig.call(gateway.port(), "POST", "/pule252/2f", headers, new byte[BODY_BYTES], 6_000);
            boolean success = answer.status() == 200 && answer.complete();
            boolean isWhole = answer.text().equals(FIRST + SECOND);
            rig.log("client got " + answer.status() + " for attempt-" + i + ", " + answer.body().length + " of "
                    + (FIRST + SECOND).length() + " bytes, " + (answer.complete() ? "complete" : "incomplete") + " ("
                    + answer.end() + ")");
            wrong += success && !isWhole ? 1 : 0;
            whole += success && isWhole ? 1 : 0;
        }
        rig.log(whole + " whole answers, " + wrong + " successes with a body that is not whole");
        if (whole < REQUESTS / 2) {
            return CaseRig.COULD_NOT_RUN;
        }
        return wrong > 0 ? CaseRig.BROKEN : CaseRig.HELD;
    }

    private static void reset(Socket socket) throws Exception {
        socket.setSoLinger(true, 0);
        socket.close();
    }
}
