package org.tanagerhinge.router;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.Iterator;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Detects that a caller hung up while its request is queued or its answer is being buffered.
 *
 * <p>During that time the HTTP server neither reads from the connection nor writes to it, so it does not see the close,
 * and the engine would compute an answer that is thrown away. The watcher registers the connections of requests in
 * flight with its own selector; a connection that is readable with no bytes available was closed by the caller.
 */
final class HangupWatcher implements AutoCloseable {
    private static final Logger LOG = System.getLogger(HangupWatcher.class.getName());

    private final Selector selector;
    private final Thread thread;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();

    private HangupWatcher(Selector selector) {
        this.selector = selector;
        this.thread = Thread.ofPlatform().name("hangups").daemon().unstarted(this::run);
    }

    static HangupWatcher start() throws IOException {
        HangupWatcher watcher = new HangupWatcher(Selector.open());
        watcher.thread.start();
        return watcher;
    }

    /** Calls back once, on the watcher's thread, if the caller hangs up before {@link #unwatch}. */
    void watch(SocketChannel channel, Runnable onHangup) {
        enqueue(() -> register(channel, onHangup));
    }

    /** Stops watching a connection. */
    void unwatch(SocketChannel channel) {
        enqueue(() -> {
            SelectionKey key = channel.keyFor(selector);
            if (key != null) {
                key.cancel();
            }
        });
    }

    private void enqueue(Runnable task) {
        tasks.add(task);
        selector.wakeup();
    }

    private void register(SocketChannel channel, Runnable onHangup) {
        try {
            SelectionKey previousKey = channel.keyFor(selector);
            if (previousKey != null && !previousKey.isValid()) {
                selector.selectNow();
            }
            channel.register(selector, SelectionKey.OP_READ, onHangup);
        } catch (ClosedChannelException e) {
            onHangup.run();
        } catch (IOException | CancelledKeyException e) {
            LOG.log(Level.WARNING, "cannot watch a caller's connection; a hang-up will not cancel its request", e);
        }
    }

    private void run() {
        try {
            while (selector.isOpen()) {
                selector.select();
                Runnable task = tasks.poll();
                while (task != null) {
                    task.run();
                    task = tasks.poll();
                }
                Iterator<SelectionKey> ready = selector.selectedKeys().iterator();
                while (ready.hasNext()) {
                    SelectionKey key = ready.next();
                    ready.remove();
                    if (key.isValid()) {
                        checkForHangup(key);
                    }
                }
            }
        } catch (ClosedSelectorException e) {
            LOG.log(Level.DEBUG, "closed");
        } catch (IOException e) {
            LOG.log(Level.ERROR, "watching callers' connections failed; hang-ups no longer cancel requests", e);
        }
    }

    private static void checkForHangup(SelectionKey key) {
        SocketChannel channel = (SocketChannel) key.channel();
        Runnable onHangup = (Runnable) key.attachment();
        // Each key is checked only once: bytes that the server has not read yet would keep it ready in a busy loop.
        key.cancel();
        try {
            boolean closed = channel.socket().getInputStream().available() == 0;
            if (closed) {
                onHangup.run();
            }
        } catch (IOException e) {
            onHangup.run();
        }
    }

    @Override
    public void close() {
        try {
            selector.close();
        } catch (IOException e) {
            LOG.log(Level.DEBUG, "the selector did not close cleanly", e);
        }
    }
}
