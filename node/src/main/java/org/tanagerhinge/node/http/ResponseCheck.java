package org.tanagerhinge.node.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.ByteBuffer;

/**
 * Checks the bytes of a connection's responses as they are received, beside a parser that accepts more.
 *
 * <p>Jetty's parser skips what follows a chunk up to the end of the line, takes the end of the connection for that of the
 * trailers, and accepts any status of three digits, other versions of HTTP and other transfer codings.
 */
public final class ResponseCheck {
    private static final int MAX_HEADER_BYTES = 65_536;

    private ResponseDecoder decoder = new ResponseDecoder(MAX_HEADER_BYTES);
    private EmbeddedChannel channel = new EmbeddedChannel(decoder);
    private boolean complete = true;
    private boolean interim;
    private boolean inBody;

    /** Sets the method of a request that is sent now; its response comes next. */
    public synchronized void expect(HttpMethod method) {
        if (!complete || decoder.hasUnreadBytes()) {
            decoder = new ResponseDecoder(MAX_HEADER_BYTES);
            channel = new EmbeddedChannel(decoder);
        }
        decoder.expect(method);
        complete = false;
        interim = false;
        inBody = false;
    }

    /**
     * Checks bytes that were received; what follows the response is left to the parser.
     *
     * @throws MalformedResponseException if they are no part of a response
     */
    public synchronized void received(ByteBuffer bytes) {
        if (complete) {
            return;
        }
        channel.writeInbound(Unpooled.copiedBuffer(bytes));
        for (HttpObject object = channel.readInbound(); object != null; object = channel.readInbound()) {
            try {
                check(object);
            } finally {
                ReferenceCountUtil.release(object);
            }
        }
    }

    private void check(HttpObject object) {
        if (complete) {
            return;
        }
        if (object.decoderResult().isFailure()) {
            complete = true;
            throw new MalformedResponseException(
                    "malformed HTTP response: " + object.decoderResult().cause().getMessage());
        }
        if (object instanceof HttpResponse response) {
            interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            inBody = !interim;
        }
        if (object instanceof LastHttpContent) {
            complete = !interim;
            inBody = false;
        }
    }

    /** Returns whether a response is in progress that ends with its connection. */
    public synchronized boolean endsWithConnection() {
        return inBody && decoder.framing() == ResponseFraming.CONNECTION_END;
    }

    /** Returns whether a response is in progress that its connection must outlast. */
    public synchronized boolean endsBeforeConnection() {
        return inBody && decoder.framing() != ResponseFraming.CONNECTION_END;
    }
}
