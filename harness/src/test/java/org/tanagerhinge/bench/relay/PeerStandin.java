package org.tanagerhinge.bench.relay;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.UnaryOperator;
import org.tanagerhinge.core.relay.ServerDirectory;
import org.tanagerhinge.core.relay.ServerRegistration;
import org.tanagerhinge.standin.relay.RawServer;
import org.tanagerhinge.wire.peer.PeerState;

/** A peer that a gateway hears, and that takes no connection or answers none. */
final class PeerStandin implements AutoCloseable {
    private static final long PAUSE_MILLIS = 50;

    private final InetSocketAddress to;
    private final long digest;
    private final AtomicLong version = new AtomicLong();
    private final DatagramSocket socket;
    private final RawServer door;
    private volatile UnaryOperator<PeerState.Builder> more = state -> state;
    private volatile boolean closed;

    private PeerStandin(InetSocketAddress to, Collection<ServerRegistration> servers, boolean silent)
            throws IOException {
        this.to = to;
        ServerDirectory directory = ServerDirectory.create();
        directory.apply(servers, 0);
        this.digest = directory.digest();
        this.socket = new DatagramSocket();
        this.door = RawServer.start(0, (request, connection) -> Thread.sleep(Long.MAX_VALUE));
        if (!silent) {
            door.close();
        }
        Thread.ofVirtual().start(this::tell);
    }

    /**
     * Returns a peer that the store answers, that goes before all others, and whose list of servers is always new.
     *
     * @param silent whether it takes connections and answers none, or takes none
     */
    static PeerStandin telling(InetSocketAddress to, Collection<ServerRegistration> servers, boolean silent)
            throws IOException {
        return new PeerStandin(to, servers, silent);
    }

    /** Sets the version of the configuration that it tells of. */
    void version(long next) {
        version.set(next);
    }

    /** Adds to what it tells from now on. */
    void tells(UnaryOperator<PeerState.Builder> addition) {
        more = addition;
    }

    private void tell() {
        long sequence = 0;
        while (!closed) {
            PeerState.Builder state = PeerState.newBuilder()
                    .setName("a-first")
                    .setIncarnation(1)
                    .setSequence(++sequence)
                    .setAddress("127.0.0.1:" + door.address().getPort())
                    .setStoreAnswers(true)
                    .setConfigVersion(version.get())
                    .setServersDigest(digest)
                    .setIntervalMillis(250);
            byte[] bytes = more.apply(state).build().toByteArray();
            try {
                socket.send(new DatagramPacket(bytes, bytes.length, to));
                Thread.sleep(PAUSE_MILLIS);
            } catch (IOException | InterruptedException e) {
                return;
            }
        }
    }

    @Override
    public void close() {
        closed = true;
        socket.close();
        door.close();
    }
}
