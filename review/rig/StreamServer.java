import java.io.OutputStream;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A model server as a process of its own: streams of 20 events, 50 ms apart. With a second argument above 0 it crashes
 * that many milliseconds after its first request.
 */
final class StreamServer {
    private static final int EVENTS = 20;
    private static final long GAP_MILLIS = 50;

    private StreamServer() {}

    public static void main(String[] args) throws Exception {
        String id = args[0];
        long crashAfterMillis = Long.parseLong(args[1]);
        AtomicBoolean crashing = new AtomicBoolean(crashAfterMillis <= 0);
        int port = CaseRig.serve((socket, in, out) -> {
            for (CaseRig.Head head = CaseRig.readHead(in); head != null; head = CaseRig.readHead(in)) {
                CaseRig.exactly(in, head.length());
                if (!crashing.getAndSet(true)) {
                    Thread.ofPlatform().daemon().start(() -> crash(crashAfterMillis));
                }
                System.out.println("run " + head.id() + " " + head.path());
                answer(id, head, out);
            }
        });
        System.out.println("port " + port);
        Thread.currentThread().join();
    }

    private static void crash(long afterMillis) {
        try {
            Thread.sleep(afterMillis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(137);
    }

    private static void answer(String id, CaseRig.Head head, OutputStream out) throws Exception {
        out.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + head.id() + "\r\nX-Server-Seal: " + id
                        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                .getBytes());
        for (int event = 1; event <= EVENTS; event++) {
            Thread.sleep(GAP_MILLIS);
            String text = "id: " + event + "\ndata: word\n\n";
            out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes());
        }
        out.write("0\r\n\r\n".getBytes());
    }
}
