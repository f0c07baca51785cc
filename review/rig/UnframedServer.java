import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.tanagerhinge.standin.relay.RawServer;

/** A server whose answers have no length and end with their connection; a process of its own, so that it can crash. */
final class UnframedServer {
    static final int PARTS = 10;
    private static final int LINES_PER_PART = 40;
    private static final long PART_MILLIS = 100;

    private UnframedServer() {}

    /** Returns one part of the whole body of the answer to a path. */
    static String part(String path, int part) {
        StringBuilder text = new StringBuilder();
        for (int line = 0; line < LINES_PER_PART; line++) {
            text.append("plan ").append(path).append(" part ").append(part).append(" of ").append(PARTS)
                    .append(" line ").append(line).append('\n');
        }
        return text.toString();
    }

    /** Returns the whole body of the answer to a path. */
    static String body(String path) {
        StringBuilder text = new StringBuilder();
        for (int part = 1; part <= PARTS; part++) {
            text.append(part(path, part));
        }
        return text.toString();
    }

    public static void main(String[] words) throws InterruptedException {
        String id = words[0];
        RawServer.start(Integer.parseInt(words[1]), (request, connection) -> {
            String expected = request.header("X-Expect-Instance");
            if (!expected.isEmpty() && !expected.equals(id)) {
                connection.answer(421, "X-Instance-Id: " + id + "\r\n", "");
                return;
            }
            connection.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.header("X-Attempt-Id")
                    + "\r\nX-Server-Seal: seal-of-" + id + "\r\nConnection: close\r\n\r\n");
            for (int part = 1; part <= PARTS; part++) {
                Thread.sleep(PART_MILLIS);
                connection.out().write(part(request.path(), part).getBytes(StandardCharsets.UTF_8));
                connection.out().flush();
            }
            connection.socket().close();
        });
        Thread.sleep(TimeUnit.MINUTES.toMillis(10));
    }
}
