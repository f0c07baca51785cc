package org.tanagerhinge.node.daemon;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import sun.misc.Signal;

/**
 * Receives the signals of this process: SIGTERM and SIGINT request a graceful stop, SIGHUP a reload of the settings.
 *
 * <p>Without handlers, the JVM exits on each of them. They are installed before a daemon opens its first socket, so that a
 * signal during the start is kept until the daemon can act on it. A signal that came before them makes the JVM exit: a
 * shutdown hook holds that up until the daemon has stopped, or the daemon isn't started if the exit has begun already.
 */
public final class StopSignals {
    /** Time from the start of the process until the JVM counts its uptime. */
    private static final Duration MAX_LOADING = Duration.ofMillis(300);

    private static final StopSignals INSTANCE = new StopSignals();

    private final CountDownLatch stopRequested = new CountDownLatch(1);
    private final AtomicInteger reloadRequests = new AtomicInteger();
    private final CountDownLatch exitReleased = new CountDownLatch(1);
    private boolean exitHeld;
    private boolean exiting;
    private volatile String stopSignal = "";
    private volatile long stopRequestedNanos;

    private StopSignals() {
        try {
            Runtime.getRuntime()
                    .addShutdownHook(Thread.ofPlatform().name("stop").unstarted(this::delayExit));
        } catch (IllegalStateException e) {
            exiting = true;
        }
        Signal.handle(new Signal("TERM"), signal -> requestStop("SIG" + signal.getName(), System.nanoTime()));
        Signal.handle(new Signal("INT"), signal -> requestStop("SIG" + signal.getName(), System.nanoTime()));
        Signal.handle(new Signal("HUP"), signal -> reloadRequests.incrementAndGet());
    }

    private void delayExit() {
        if (stopRequested.getCount() > 0) {
            // The signal may have come at any time since the start of the process.
            Duration age = Duration.ofMillis(
                            ManagementFactory.getRuntimeMXBean().getUptime())
                    .plus(MAX_LOADING);
            requestStop("exit of the JVM", System.nanoTime() - age.toNanos());
        }
        synchronized (this) {
            exiting = true;
            if (!exitHeld) {
                return;
            }
        }
        try {
            exitReleased.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Holds up an exit of the JVM from now on until {@link #releaseExit()}; returns false if the JVM exits already, so that
     * nothing should be started any more.
     */
    public synchronized boolean holdExit() {
        if (!exiting) {
            exitHeld = true;
        }
        return exitHeld;
    }

    /** Lets the JVM exit, since the daemon has stopped. */
    void releaseExit() {
        exitReleased.countDown();
    }

    /** Installs the handlers when it is called for the first time, and returns what they receive. */
    public static StopSignals install() {
        return INSTANCE;
    }

    private synchronized void requestStop(String signal, long atNanos) {
        if (stopRequested.getCount() > 0) {
            stopRequestedNanos = atNanos;
            stopSignal = signal;
            stopRequested.countDown();
        }
    }

    /** Waits for the request to stop, up to a time; returns whether it has come. */
    boolean awaitStop(long timeoutMillis) throws InterruptedException {
        return stopRequested.await(timeoutMillis, TimeUnit.MILLISECONDS);
    }

    /** Returns the name of the first signal that requested the stop, empty if there was none. */
    String stopSignal() {
        return stopSignal;
    }

    /** Returns the steady time of the first signal that requested the stop, in nanoseconds; now if there was none. */
    long stopRequestedNanos() {
        return stopRequested.getCount() > 0 ? System.nanoTime() : stopRequestedNanos;
    }

    /** Returns the number of reloads that were requested. */
    int reloadRequests() {
        return reloadRequests.get();
    }
}
