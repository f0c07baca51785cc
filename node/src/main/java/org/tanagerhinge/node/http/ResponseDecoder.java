package org.tanagerhinge.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Pattern;
import org.tanagerhinge.core.memory.HeadMemory;

/**
 * Decodes the responses of one connection, and fails what RFC 9110 and RFC 9112 do not allow as one.
 *
 * <p>The base class accepts more: it takes any number for a status, cuts a field name at a blank, and skips blank
 * characters before a response. A relay must not, since its caller would take what is left for the server's response.
 *
 * <p>A malformed response is passed on as an object whose decoder result is a failure; nothing follows it.
 */
public final class ResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_INITIAL_LINE_BYTES = 4096;
    private static final int MAX_CHUNK_BYTES = 16_384;

    private static final byte[] START = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
    /** A status line without its line feed. The blank before an empty reason is often left out. */
    private static final Pattern STATUS_LINE =
            Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}(?: [\\t\\x20-\\x7e\\x80-\\xff]*)?\\r");

    private final HeldLines head = new HeldLines();
    /** The frame of a chunk, or trailers. */
    private final HeldLines frame = new HeldLines();

    private boolean headOnly;
    private boolean headComplete;
    private boolean awaitingStatusLine = true;
    private boolean contentAllowed = true;
    private boolean failed;
    private ResponseFraming framing = ResponseFraming.NO_BODY;

    /**
     * Creates the decoder of a connection.
     *
     * @param maxHeaderBytes maximum size of the header lines of a response, and of its trailers
     */
    public ResponseDecoder(int maxHeaderBytes) {
        super(MAX_INITIAL_LINE_BYTES, maxHeaderBytes, MAX_CHUNK_BYTES);
    }

    /** Sets the method of the request whose response comes next; a response to HEAD has no body. */
    public void expect(HttpMethod method) {
        headOnly = HttpMethod.HEAD.equals(method);
    }

    /** Returns the framing of the response whose head was decoded last. */
    public ResponseFraming framing() {
        return framing;
    }

    /**
     * Returns an estimate from above, in bytes, of the memory that the current response takes: its head, and what is kept of its
     * framing and of bytes that are not decoded.
     */
    public long heldBytes() {
        return head.memory() + frame.memory() + 2L * actualReadableBytes();
    }

    /** Returns whether bytes follow the response that was decoded last. */
    public boolean hasUnreadBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        if (!failed && awaitingStatusLine && in.isReadable()) {
            checkStatusLine(in, out);
        }
        if (failed) {
            in.skipBytes(in.readableBytes());
            return;
        }
        int start = in.readerIndex();
        int decoded = out.size();
        super.decode(context, in, out);
        if (!headComplete) {
            head.add(in, start);
        } else if (out.size() == decoded) {
            frame.add(in, start);
        }
        for (Object object : out.subList(decoded, out.size())) {
            note((HttpObject) object);
        }
    }

    private void checkStatusLine(ByteBuf in, List<Object> out) {
        int lineFeed = in.indexOf(in.readerIndex(), in.writerIndex(), (byte) '\n');
        if (lineFeed < 0) {
            if (!beginsResponse(in)) {
                fail(out, "bytes that begin no HTTP/1.1 response");
            }
            return;
        }
        awaitingStatusLine = false;
        String line = in.toString(in.readerIndex(), lineFeed - in.readerIndex(), StandardCharsets.ISO_8859_1);
        if (!STATUS_LINE.matcher(line).matches()) {
            fail(out, "status line is not one of HTTP/1.1 with a status from 100 to 599");
        }
    }

    /** Returns whether the bytes so far begin a response; its first line may never end. */
    private static boolean beginsResponse(ByteBuf in) {
        int length = Math.min(START.length, in.readableBytes());
        for (int i = 0; i < length; i++) {
            if (in.getByte(in.readerIndex() + i) != START[i]) {
                return false;
            }
        }
        return true;
    }

    private void fail(List<Object> out, String reason) {
        HttpMessage invalid = createInvalidMessage();
        fail(invalid, reason);
        out.add(invalid);
    }

    private void fail(HttpObject object, String reason) {
        object.setDecoderResult(DecoderResult.failure(new MalformedResponseException(reason)));
        failed = true;
    }

    private void note(HttpObject object) {
        if (object.decoderResult().isFailure()) {
            failed = true;
        } else if (object instanceof HttpResponse) {
            headComplete = true;
        } else if (object instanceof HttpContent content) {
            if (!contentAllowed && content.content().isReadable()) {
                fail(content, "response has content that its status does not allow");
            } else if (content instanceof LastHttpContent) {
                awaitingStatusLine = true;
                headComplete = false;
                head.clear();
            }
            frame.clear();
        }
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != ':') {
            throw new MalformedResponseException("field name '"
                    + new String(line, start, length, StandardCharsets.ISO_8859_1) + "' is not followed by a colon");
        }
        return super.splitHeaderName(line, start, length);
    }

    /** Checks the head, which is complete here, before its framing is applied. */
    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        HttpResponse response = (HttpResponse) message;
        checkHead(response);
        boolean empty = headOnly || super.isContentAlwaysEmpty(message);
        contentAllowed = !response.status().equals(HttpResponseStatus.RESET_CONTENT);
        framing = ResponseFraming.of(response, empty);
        return empty;
    }

    private static void checkHead(HttpResponse response) {
        HttpResponseStatus status = response.status();
        HttpHeaders headers = response.headers();
        if (status.equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            throw new MalformedResponseException("server switches to another protocol without being asked");
        }
        boolean interim = status.codeClass() == HttpStatusClass.INFORMATIONAL;
        boolean unframed = interim || status.equals(HttpResponseStatus.NO_CONTENT);
        if (headers.contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
            if (unframed || codings.size() != 1 || !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0))) {
                throw new MalformedResponseException(
                        "transfer coding " + codings + " is not allowed with status " + status.code());
            }
        }
        if (unframed || status.equals(HttpResponseStatus.RESET_CONTENT)) {
            for (String length : headers.getAll(HttpHeaderNames.CONTENT_LENGTH)) {
                if (!length.equals("0")) {
                    throw new MalformedResponseException(
                            "length " + length + " is not allowed with status " + status.code());
                }
            }
        }
    }

    /** Counts bytes that were decoded and are kept as lines. */
    private static final class HeldLines {
        private long bytes;
        private long lines;

        void add(ByteBuf in, int start) {
            bytes += in.readerIndex() - start;
            lines += Lines.count(in, start, in.readerIndex());
        }

        void clear() {
            bytes = 0;
            lines = 0;
        }

        long memory() {
            return HeadMemory.of(bytes, lines);
        }
    }
}
