package org.tanagerhinge.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against calls that get no reply, and against connections that stay open, whatever the other side sends. */
class SequentialHttpClientTest {
    /** Timeout of calls that get no response. */
    private static final int SHORT_TIMEOUT_MILLIS = 400;

    private static final int TIMEOUT_MILLIS = 20_000;
    private static final long PATIENCE_SECONDS = 20;
    private static final int BUFFER_BYTES = 65_536;
    private static final int LONG_REQUEST_BYTES = 16 << 20;
    private static final long RESET_DELAY_MILLIS = 50;
    private static final String ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    private final LinkedBlockingQueue<SequentialHttpClient.Response> responses = new LinkedBlockingQueue<>();
    private final CountDownLatch writerEnded = new CountDownLatch(1);
    private final List<Socket> sockets = new ArrayList<>();
    private EventLoopGroup loop;
    private ServerSocket listener;
    private SequentialHttpClient client;

    @BeforeEach
    void setUp() throws IOException {
        loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        listener = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
        client = SequentialHttpClient.of(loop, (InetSocketAddress) listener.getLocalSocketAddress());
    }

    @AfterEach
    void tearDown() throws IOException {
        loop.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    /** What the other side sends in place of a response, and then again and again. */
    private enum Stream {
        BLANK_LINES("", "\r\n"),
        STATUS_LINE("HTTP/1.1 200 ", "O"),
        HEADER_LINE("HTTP/1.1 200 OK\r\nX-A: ", "a"),
        HEADERS("HTTP/1.1 200 OK\r\n", "X-A: a\r\n"),
        INFORMATIONAL("", "HTTP/1.1 102 Processing\r\n\r\n"),
        LONG_BODY("HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", "b"),
        UNFRAMED_BODY("HTTP/1.1 200 OK\r\n\r\n", "b"),
        CHUNKS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nb\r\n"),
        CHUNK_SIZE("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"),
        TRAILERS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: a\r\n");

        private final String start;
        private final String repeated;

        Stream(String start, String repeated) {
            this.start = start;
            this.repeated = repeated;
        }
    }

    /** Accepts connections one after the other; the first is handled by {@code first}, all others get answers. */
    private void serve(Consumer<OutputStream> first) {
        Thread.ofVirtual().start(() -> {
            try {
                for (int i = 0; !listener.isClosed(); i++) {
                    Socket socket = listener.accept();
                    sockets.add(socket);
                    boolean isFirst = i == 0;
                    Thread.ofVirtual().start(() -> answer(socket, isFirst ? first : out -> write(out, ANSWER)));
                }
            } catch (IOException e) {
                // The test has ended.
            }
        });
    }

    private static void answer(Socket socket, Consumer<OutputStream> response) {
        try {
            InputStream in = socket.getInputStream();
            byte[] request = new byte[BUFFER_BYTES];
            while (in.read(request) > 0) {
                response.accept(socket.getOutputStream());
            }
        } catch (IOException e) {
            // The client has closed the connection.
        }
    }

    private static boolean write(OutputStream out, String text) {
        try {
            out.write(text.getBytes(StandardCharsets.US_ASCII));
            out.flush();
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private void call(int timeoutMillis, Consumer<SequentialHttpClient.Response> onResponse) {
        loop.next().execute(() -> client.call(HttpMethod.GET, "/", "", timeoutMillis, onResponse));
    }

    private SequentialHttpClient.Response nextResponse() throws InterruptedException {
        SequentialHttpClient.Response response = responses.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
        if (response == null) {
            throw new AssertionError("no response");
        }
        return response;
    }

    @ParameterizedTest
    @EnumSource(Stream.class)
    void callFailsAndItsConnectionEndsIfBytesComeWithoutEnd(Stream stream) throws InterruptedException {
        String block = stream.repeated.repeat(BUFFER_BYTES / stream.repeated.length());
        serve(out -> {
            boolean open = write(out, stream.start);
            while (open) {
                open = write(out, block);
            }
            writerEnded.countDown();
        });
        call(SHORT_TIMEOUT_MILLIS, responses::add);
        assertEquals(0, nextResponse().status());
        assertTrue(writerEnded.await(PATIENCE_SECONDS, TimeUnit.SECONDS), "connection is still open");
        call(TIMEOUT_MILLIS, responses::add);
        assertEquals(200, nextResponse().status());
    }

    @Test
    void informationalResponsesAreNotTakenForTheResponse() throws InterruptedException {
        serve(out -> write(out, "HTTP/1.1 103 Early Hints\r\nX-A: a\r\n\r\n" + ANSWER));
        for (int i = 0; i < 2; i++) {
            call(TIMEOUT_MILLIS, responses::add);
            assertEquals(200, nextResponse().status());
        }
    }

    /** Guards against a later call that a receiver's error leaves without a reply. */
    @Test
    void callsGoOnAfterAReceiverThrows() throws InterruptedException {
        serve(out -> write(out, ANSWER));
        call(TIMEOUT_MILLIS, response -> {
            throw new StackOverflowError("deliberate");
        });
        call(TIMEOUT_MILLIS, responses::add);
        assertEquals(200, nextResponse().status());
        call(TIMEOUT_MILLIS, responses::add);
        assertEquals(200, nextResponse().status());
    }

    private record Cut(int bytes, boolean reset) {}

    private static java.util.stream.Stream<Cut> cuts() {
        return IntStream.range(1, ANSWER.length())
                .boxed()
                .flatMap(bytes -> java.util.stream.Stream.of(new Cut(bytes, false), new Cut(bytes, true)));
    }

    /** Guards against a response of the store or of a peer that counts although it ended within its head or body. */
    @ParameterizedTest
    @MethodSource("cuts")
    void responseThatIsCutFails(Cut cut) throws Exception {
        serve(out -> {
            write(out, ANSWER.substring(0, cut.bytes()));
            try {
                sockets.getLast().setSoLinger(cut.reset(), 0);
                sockets.getLast().close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
        loop.execute(() -> client.call(HttpMethod.GET, "/", "", TIMEOUT_MILLIS, responses::add));
        assertEquals(0, responses.poll(PATIENCE_SECONDS, TimeUnit.SECONDS).status());
    }

    /** What the other side sends in place of a response, in its head, framing, chunks and trailers. */
    private enum Malformed {
        STATUS_000("HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok"),
        STATUS_600("HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nok"),
        STATUS_OF_FOUR_DIGITS("HTTP/1.1 0200 OK\r\nContent-Length: 2\r\n\r\nok"),
        VERSION("HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok"),
        BLANK_LINE_BEFORE_HEAD("\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
        NAME_WITH_BLANK("HTTP/1.1 200 OK\r\nX y: 1\r\nContent-Length: 2\r\n\r\nok"),
        NAME_WITH_CONTROL("HTTP/1.1 200 OK\r\nX\u0001y: 1\r\nContent-Length: 2\r\n\r\nok"),
        LENGTH_NAME_WITH_BLANK("HTTP/1.1 200 OK\r\nContent-Length x: 1\r\n\r\nok"),
        INTERIM_NAME_WITH_BLANK("HTTP/1.1 103 Early Hints\r\nX y: 1\r\n\r\n" + ANSWER),
        PROTOCOL_SWITCH("HTTP/1.1 101 Switching Protocols\r\nUpgrade: HTTP/1.1\r\n\r\n" + ANSWER),
        TRANSFER_CODING("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
        TWO_LENGTHS("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 1\r\n\r\nok"),
        CHUNK_SIZE("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n+2\r\nok\r\n0\r\n\r\n"),
        CHUNK_TOO_LONG("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nokay\r\n0\r\n\r\n"),
        TRAILER("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX y: 1\r\n\r\n"),
        NO_CONTENT_WITH_CHUNKS("HTTP/1.1 204 No\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
        RESET_CONTENT("HTTP/1.1 205 No\r\nContent-Length: 2\r\n\r\nok");

        private final String bytes;

        Malformed(String bytes) {
            this.bytes = bytes;
        }
    }

    /** Guards against malformed bytes of the store or of a peer that count as a response, and against later calls that fail. */
    @ParameterizedTest
    @EnumSource(Malformed.class)
    void malformedResponseFails(Malformed malformed) throws InterruptedException {
        serve(out -> write(out, malformed.bytes));
        call(TIMEOUT_MILLIS, responses::add);
        assertEquals(0, nextResponse().status());
        call(TIMEOUT_MILLIS, responses::add);
        assertEquals("ok", nextResponse().text());
    }

    /** Guards against a part of a response without a length that counts although a reset has met the request. */
    @Test
    void responseWithoutLengthFailsIfTheRequestWasNotWritten() throws InterruptedException {
        serve(out -> {
            write(out, "HTTP/1.1 200 OK\r\n\r\npart");
            try {
                sockets.getFirst().setSoLinger(true, 0);
                sockets.getFirst().shutdownOutput();
                Thread.sleep(RESET_DELAY_MILLIS);
                sockets.getFirst().close();
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        byte[] body = new byte[LONG_REQUEST_BYTES];
        loop.execute(() -> client.call(HttpMethod.POST, "/", java.util.Map.of(), body, TIMEOUT_MILLIS, responses::add));
        assertEquals(0, nextResponse().status());
    }
}
