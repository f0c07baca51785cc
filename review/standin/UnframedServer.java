import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A server in a process of its own, whose answers have no length and end with their connections. */
final class UnframedServer {
    static final int EVENTS = 60;
    private static final long EVENT_MILLIS = 100;

    private UnframedServer() {}

    public static void main(String[] args) throws IOException {
        ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        System.out.println(listener.getLocalPort());
        System.out.flush();
        while (true) {
            Socket connection = listener.accept();
            connection.setTcpNoDelay(true);
            Thread.ofPlatform().daemon().start(() -> serve(args[0], connection));
        }
    }

    private static void serve(String id, Socket connection) {
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            OutputStream out = connection.getOutputStream();
            Rig.Head head = Rig.Http.readHead(in);
            Rig.Http.readBody(in, head);
            out.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + head.header("X-Attempt-Id") + "\r\nX-Server-Seal: "
                    + Rig.seal(head, new byte[EVENTS]) + "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            for (int event = 1; event <= EVENTS; event++) {
                out.write(("id: " + event + "\ndata: piece " + event + "\n\n").getBytes(StandardCharsets.US_ASCII));
                out.flush();
                Thread.sleep(EVENT_MILLIS);
            }
        } catch (IOException | InterruptedException e) {
            // The connection has ended.
        }
    }
}
