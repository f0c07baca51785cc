package org.tanagerhinge.gateway;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.tanagerhinge.core.relay.PeerReport;

/** Requests what peers are ahead in, over TCP. */
final class PeerClient {
    private static final long REQUEST_TIMEOUT_MILLIS = 700;

    private final EventLoopGroup loop;

    private PeerClient(EventLoopGroup loop) {
        this.loop = loop;
    }

    static PeerClient of(EventLoopGroup loop) {
        return new PeerClient(loop);
    }

    /** Sends a request to a peer, and passes on the body of the response, or null without a successful one. */
    void request(PeerReport peer, String path, Consumer<byte[]> onResponse) {
        InetSocketAddress address;
        try {
            address = PeerCodec.address(peer.address());
        } catch (InvalidProtocolBufferException e) {
            onResponse.accept(null);
            return;
        }
        SequentialHttpClient client = SequentialHttpClient.of(loop, address);
        client.call(HttpMethod.GET, path, "", REQUEST_TIMEOUT_MILLIS, response -> {
            client.close();
            onResponse.accept(response.status() == 200 ? response.body() : null);
        });
    }
}
