package org.tanagerhinge.bench.relay;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Base64;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.tanagerhinge.standin.relay.StoreStandin;
import org.tanagerhinge.wire.peer.PeerState;

/**
 * A network between gateways that can be cut.
 *
 * <p>Each gateway has an endpoint that forwards to it, and gateways learn only of the endpoints: addresses are replaced in
 * what the store lists and in the gateways' reports.
 */
final class GatewayNetwork implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String GATEWAYS_PREFIX = "gateways/";
    private static final int MAX_DATAGRAM_BYTES = 8_192;
    /** Datagrams of other kinds than reports begin with a byte below this. */
    private static final int MIN_REPORT_BYTE = 8;

    private final Map<InetSocketAddress, Endpoint> endpoints = new ConcurrentHashMap<>();
    private final Map<InetSocketAddress, Set<InetSocketAddress>> cuts = new ConcurrentHashMap<>();

    private GatewayNetwork() {}

    /** Returns a network of the gateways that a store lists. */
    static GatewayNetwork between(StoreStandin store) {
        GatewayNetwork network = new GatewayNetwork();
        store.alterResponses(network::withEndpoints);
        return network;
    }

    /** Drops what a gateway and others send each other; calls add up. */
    void cut(InetSocketAddress gateway, Set<InetSocketAddress> others) {
        cuts.computeIfAbsent(gateway, address -> ConcurrentHashMap.newKeySet()).addAll(others);
    }

    /** Ends all cuts. */
    void heal() {
        cuts.clear();
    }

    private boolean isCut(InetSocketAddress first, InetSocketAddress second) {
        return cuts.getOrDefault(first, Set.of()).contains(second)
                || cuts.getOrDefault(second, Set.of()).contains(first);
    }

    private boolean isCut(InetSocketAddress gateway) {
        return cuts.containsKey(gateway);
    }

    private Endpoint endpoint(InetSocketAddress gateway) {
        return endpoints.computeIfAbsent(gateway, Endpoint::new);
    }

    private String withEndpoints(String body) {
        if (!body.contains("\"" + GATEWAYS_PREFIX)) {
            return body;
        }
        try {
            JsonNode document = JSON.readTree(body);
            for (JsonNode item : document.path("items")) {
                if (item.path("key").asText().startsWith(GATEWAYS_PREFIX)) {
                    String address = new String(
                            Base64.getDecoder().decode(item.path("value").asText()), StandardCharsets.UTF_8);
                    byte[] replaced = endpoint(parse(address)).text().getBytes(StandardCharsets.UTF_8);
                    ((ObjectNode) item).put("value", Base64.getEncoder().encodeToString(replaced));
                }
            }
            return document.toString();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    private byte[] withEndpoint(byte[] datagram) {
        if (datagram.length == 0 || datagram[0] < MIN_REPORT_BYTE) {
            return datagram;
        }
        try {
            PeerState report = PeerState.parseFrom(datagram);
            return report.toBuilder()
                    .setAddress(endpoint(parse(report.getAddress())).text())
                    .build()
                    .toByteArray();
        } catch (InvalidProtocolBufferException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        endpoints.values().forEach(Endpoint::close);
    }

    /** Where the peers of a gateway reach it. */
    private final class Endpoint {
        private final InetSocketAddress gateway;
        private final DatagramSocket datagrams;
        private final ServerSocket listener;

        private Endpoint(InetSocketAddress gateway) {
            this.gateway = gateway;
            try {
                InetAddress loopback = InetAddress.getByName("127.0.0.1");
                listener = new ServerSocket(0, 50, loopback);
                datagrams = new DatagramSocket(listener.getLocalPort(), loopback);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            Thread.ofPlatform().daemon().start(this::forwardDatagrams);
            Thread.ofPlatform().daemon().start(this::accept);
        }

        private String text() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        private void forwardDatagrams() {
            byte[] buffer = new byte[MAX_DATAGRAM_BYTES];
            while (!datagrams.isClosed()) {
                DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
                try {
                    datagrams.receive(packet);
                    InetSocketAddress sender = (InetSocketAddress) packet.getSocketAddress();
                    if (!sender.equals(gateway) && !isCut(sender, gateway)) {
                        byte[] bytes = withEndpoint(Arrays.copyOf(packet.getData(), packet.getLength()));
                        endpoint(sender).datagrams.send(new DatagramPacket(bytes, bytes.length, gateway));
                    }
                } catch (IOException e) {
                    // The test has ended, or the gateway has.
                }
            }
        }

        private void accept() {
            while (!listener.isClosed()) {
                try {
                    Socket from = listener.accept();
                    Thread.ofVirtual().start(() -> forward(from));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void forward(Socket from) {
            try (from;
                    Socket to = new Socket(gateway.getAddress(), gateway.getPort())) {
                Thread requests = Thread.ofVirtual().start(() -> copy(from, to));
                copy(to, from);
                requests.join();
            } catch (IOException e) {
                // The gateway has ended.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private void copy(Socket from, Socket to) {
            try (from;
                    to) {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                byte[] buffer = new byte[MAX_DATAGRAM_BYTES];
                for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                    // A connection doesn't tell which gateway opened it.
                    if (isCut(gateway)) {
                        return;
                    }
                    out.write(buffer, 0, count);
                }
            } catch (IOException e) {
                // One of the two has closed its connection.
            }
        }

        private void close() {
            datagrams.close();
            try {
                listener.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }
}
