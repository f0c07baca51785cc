package org.tanagerhinge.node.daemon;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against servers whose bytes without end are kept until the memory is full. */
class HttpClientsTest {
    private static final int BLOCK_BYTES = 65_536;
    /** More than the kernel's buffers hold, and less than would matter to a daemon. */
    private static final long MAX_SENT_BYTES = 64L << 20;

    private static final long PATIENCE_SECONDS = 30;

    private final AtomicLong sentBytes = new AtomicLong();
    private final CountDownLatch writerEnded = new CountDownLatch(1);
    private ServerSocket listener;
    private HttpClient client;

    /** What a server sends: a start, and then a text again and again. */
    private enum Kind {
        STATUS_LINE("HTTP/1.1 200 ", "O"),
        HEADER_LINE("HTTP/1.1 200 OK\r\nX-A: ", "a"),
        HEADERS("HTTP/1.1 200 OK\r\n", "a:\r\n"),
        INTERIM_HEADERS("HTTP/1.1 103 Early Hints\r\n", "a:\r\n"),
        NO_RESPONSE("", "x"),
        CHUNK_SIZE("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"),
        CHUNK_EXTENSION("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "a"),
        TRAILERS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "a:\r\n");

        private final String start;
        private final String repeated;

        Kind(String start, String repeated) {
            this.start = start;
            this.repeated = repeated;
        }
    }

    @BeforeEach
    void setUp() throws IOException {
        listener = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
        client = HttpClients.started("test");
    }

    @AfterEach
    void tearDown() throws Exception {
        client.stop();
        listener.close();
    }

    private void serve(Kind kind) {
        Thread.ofVirtual().start(() -> {
            byte[] block =
                    kind.repeated.repeat(BLOCK_BYTES / kind.repeated.length()).getBytes(StandardCharsets.US_ASCII);
            try (Socket socket = listener.accept()) {
                if (socket.getInputStream().read() < 0) {
                    return;
                }
                OutputStream out = socket.getOutputStream();
                out.write(kind.start.getBytes(StandardCharsets.US_ASCII));
                while (sentBytes.get() < MAX_SENT_BYTES) {
                    out.write(block);
                    sentBytes.addAndGet(block.length);
                }
            } catch (IOException e) {
                writerEnded.countDown();
            }
        });
    }

    @ParameterizedTest
    @EnumSource
    @Timeout(4 * PATIENCE_SECONDS)
    void bytesWithoutEndFailTheRequest(Kind kind) throws InterruptedException {
        serve(kind);
        String url = "http://127.0.0.1:" + listener.getLocalPort() + "/";
        assertThrows(
                ExecutionException.class,
                () -> client.newRequest(url)
                        .timeout(PATIENCE_SECONDS, TimeUnit.SECONDS)
                        .send());
        assertTrue(
                writerEnded.await(PATIENCE_SECONDS, TimeUnit.SECONDS), () -> "connection is open after " + sentBytes);
    }
}
