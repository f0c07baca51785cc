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
 * Buffers log lines in memory and writes them in batches from its own thread, with bounded size and rate.
 *
 * <p>It guards against a log reader that stops: a full pipe would otherwise block the threads that serve requests. A
 * line that exceeds the buffer or the rate is dropped and counted, and the next batch ends with a line that reports the
 * count. A quarter of both bounds is reserved for lines about failures, which are therefore dropped last.
 */
final class BoundedAppender extends UnsynchronizedAppenderBase<ILoggingEvent> {
    /** Maximum size of the buffer: holds a few seconds of a busy node. */
    private static final int MAX_BUFFERED_BYTES = 256 * 1024;
    /**
     * Maximum sustained rate, five times that of a node with 25 requests per second; a burst may use the volume of one
     * second.
     */
    static final int MAX_BYTES_PER_SECOND = 128 * 1024;
    /** Fraction of buffer and rate that only lines about failures may use. */
    private static final double RESERVED_FOR_FAILURES = 0.25;
    /** Delay for which lines are collected into one batch, to save writes and wake-ups. */
    private static final Duration BATCH_DELAY = Duration.ofMillis(100);

    private final JsonLineEncoder encoder;
    private final OutputStream out;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition batchWritten = lock.newCondition();
    private final Condition bufferNotEmpty = lock.newCondition();
    private final Condition flushRequestedCondition = lock.newCondition();
    private ByteArrayOutputStream buffer = new ByteArrayOutputStream(4096);
    private double availableBytes = MAX_BYTES_PER_SECOND;
    private long refilledAtNanos = System.nanoTime();
    private long dropped;
    private long totalDropped;
    private Thread writerThread;
    private boolean writing;
    private boolean flushRequested;

    private BoundedAppender(JsonLineEncoder encoder, OutputStream out) {
        this.encoder = encoder;
        this.out = out;
    }

    /** Returns an appender for a stream whose writes may block. */
    static BoundedAppender to(OutputStream out, JsonLineEncoder encoder) {
        return new BoundedAppender(encoder, out);
    }

    @Override
    public void start() {
        super.start();
        writerThread = Thread.ofPlatform().name("log").daemon().start(this::writeBatches);
    }

    @Override
    public void stop() {
        super.stop();
        if (writerThread != null) {
            writerThread.interrupt();
        }
    }

    @Override
    protected void append(ILoggingEvent event) {
        write(encoder.encode(event), event.getLevel().isGreaterOrEqual(Level.WARN));
    }

    /** Buffers a line, or drops and counts it if a bound is reached. */
    void write(byte[] line, boolean failure) {
        lock.lock();
        try {
            refill();
            double reserved = failure ? 0 : RESERVED_FOR_FAILURES;
            if (buffer.size() + line.length > MAX_BUFFERED_BYTES * (1 - reserved)
                    || availableBytes - line.length < MAX_BYTES_PER_SECOND * reserved) {
                dropped++;
                totalDropped++;
                return;
            }
            availableBytes -= line.length;
            if (buffer.size() == 0) {
                bufferNotEmpty.signal();
            }
            buffer.writeBytes(line);
        } finally {
            lock.unlock();
        }
    }

    private void refill() {
        long nowNanos = System.nanoTime();
        availableBytes = Math.min(
                MAX_BYTES_PER_SECOND, availableBytes + (nowNanos - refilledAtNanos) / 1e9 * MAX_BYTES_PER_SECOND);
        refilledAtNanos = nowNanos;
    }

    /** Returns the number of lines dropped since the start. */
    long dropped() {
        lock.lock();
        try {
            return totalDropped;
        } finally {
            lock.unlock();
        }
    }

    /** Waits until the buffer is written, up to a timeout, so that a stopped reader does not block the exit. */
    void flush(Duration timeout) {
        long remainingNanos = timeout.toNanos();
        lock.lock();
        try {
            flushRequested = true;
            flushRequestedCondition.signal();
            while ((buffer.size() > 0 || writing) && remainingNanos > 0) {
                remainingNanos = batchWritten.awaitNanos(remainingNanos);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            lock.unlock();
        }
    }

    private void writeBatches() {
        try {
            while (true) {
                byte[] lines = takeBatch();
                out.write(lines);
                out.flush();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            addError("writing the log failed; no more lines are written", e);
            stop();
        }
    }

    private byte[] takeBatch() throws InterruptedException {
        lock.lockInterruptibly();
        try {
            writing = false;
            batchWritten.signalAll();
            while (buffer.size() == 0) {
                bufferNotEmpty.await();
            }
            long remainingNanos = BATCH_DELAY.toNanos();
            while (!flushRequested && remainingNanos > 0) {
                remainingNanos = flushRequestedCondition.awaitNanos(remainingNanos);
            }
            flushRequested = false;
            if (dropped > 0) {
                buffer.writeBytes(encoder.droppedLine(dropped));
                dropped = 0;
            }
            byte[] lines = buffer.toByteArray();
            buffer.reset();
            writing = true;
            return lines;
        } finally {
            lock.unlock();
        }
    }
}
