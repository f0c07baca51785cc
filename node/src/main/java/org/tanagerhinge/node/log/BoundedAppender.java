package org.tanagerhinge.node.log;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.UnsynchronizedAppenderBase;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.time.Duration;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Gathers lines in memory and writes them from a thread of its own, a few times a second.
 *
 * <p>What goes wrong without it: whoever reads the output stops, the pipe fills, and the next line holds the thread that
 * serves requests until somebody reads again; one would see all requests stand still at once. Here a line that finds no
 * room is dropped and counted, and the count is written as a line of its own as soon as there is room. The same bound
 * holds for lines a second. Lines about failures may use the last quarter of both, so that they are dropped last.
 */
final class BoundedAppender extends UnsynchronizedAppenderBase<ILoggingEvent> {
    /** Lines gathered at the most, in bytes: a few seconds of a busy node's. */
    private static final int MOST_BUFFERED = 256 * 1024;
    /** Volume that is written for long, in bytes a second: five times that of a node with 25 requests a second. */
    static final int BYTES_A_SECOND = 128 * 1024;
    /** Part of buffer and volume that only lines about failures may use. */
    private static final double FAILURES_ONLY = 0.25;
    /** Lines wait this long for others, since each write and each wake-up costs processor time. */
    private static final Duration GATHER = Duration.ofMillis(100);

    private final JsonLineEncoder encoder;
    private final OutputStream out;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition written = lock.newCondition();
    private final Condition filled = lock.newCondition();
    private final Condition hurried = lock.newCondition();
    private ByteArrayOutputStream gathered = new ByteArrayOutputStream(4096);
    private double allowance = BYTES_A_SECOND;
    private long allowanceAt = System.nanoTime();
    private long dropped;
    private long droppedInAll;
    private Thread writer;
    private boolean writing;
    private boolean hurry;

    private BoundedAppender(JsonLineEncoder encoder, OutputStream out) {
        this.encoder = encoder;
        this.out = out;
    }

    /** Returns an appender that writes to a stream which may block for long. */
    static BoundedAppender to(OutputStream out, JsonLineEncoder encoder) {
        return new BoundedAppender(encoder, out);
    }

    @Override
    public void start() {
        super.start();
        writer = Thread.ofPlatform().name("log").daemon().start(this::writeForEver);
    }

    @Override
    public void stop() {
        super.stop();
        if (writer != null) {
            writer.interrupt();
        }
    }

    @Override
    protected void append(ILoggingEvent event) {
        write(encoder.encode(event), event.getLevel().isGreaterOrEqual(Level.WARN));
    }

    /** Writes a line, or drops and counts it. */
    void write(byte[] line, boolean failure) {
        lock.lock();
        try {
            refill();
            double kept = failure ? 0 : FAILURES_ONLY;
            if (gathered.size() + line.length > MOST_BUFFERED * (1 - kept)
                    || allowance - line.length < BYTES_A_SECOND * kept) {
                dropped++;
                droppedInAll++;
                return;
            }
            allowance -= line.length;
            if (gathered.size() == 0) {
                filled.signal();
            }
            gathered.writeBytes(line);
        } finally {
            lock.unlock();
        }
    }

    private void refill() {
        long now = System.nanoTime();
        allowance = Math.min(BYTES_A_SECOND, allowance + (now - allowanceAt) / 1e9 * BYTES_A_SECOND);
        allowanceAt = now;
    }

    /** Returns how many lines were dropped since the start. */
    long dropped() {
        lock.lock();
        try {
            return droppedInAll;
        } finally {
            lock.unlock();
        }
    }

    /** Waits until what was gathered is written, for a bounded time: a reader that has stopped must not hold an exit. */
    void flush(Duration most) {
        long left = most.toNanos();
        lock.lock();
        try {
            hurry = true;
            hurried.signal();
            while ((gathered.size() > 0 || writing) && left > 0) {
                left = written.awaitNanos(left);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            lock.unlock();
        }
    }

    private void writeForEver() {
        try {
            while (true) {
                byte[] lines = take();
                out.write(lines);
                out.flush();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            addError("nobody reads the log any more", e);
            stop();
        }
    }

    private byte[] take() throws InterruptedException {
        lock.lockInterruptibly();
        try {
            writing = false;
            written.signalAll();
            while (gathered.size() == 0) {
                filled.await();
            }
            long left = GATHER.toNanos();
            while (!hurry && left > 0) {
                left = hurried.awaitNanos(left);
            }
            hurry = false;
            if (dropped > 0) {
                gathered.writeBytes(encoder.dropped(dropped));
                dropped = 0;
            }
            byte[] lines = gathered.toByteArray();
            gathered.reset();
            writing = true;
            return lines;
        } finally {
            lock.unlock();
        }
    }
}
