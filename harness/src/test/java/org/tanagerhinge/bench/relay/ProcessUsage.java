package org.tanagerhinge.bench.relay;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** Watches the memory and the descriptors of a process until it is closed. */
public final class ProcessUsage implements AutoCloseable {
    private static final long INTERVAL_MILLIS = 50;
    private static final int RADIX = 16;

    private final Path process;
    private final String portSuffix;
    private final Thread sampler = Thread.ofPlatform().daemon().name("usage").unstarted(this::sample);
    private volatile long peakBytes;
    private volatile long peakDescriptors;
    private volatile boolean closed;

    private ProcessUsage(Path process, String portSuffix) {
        this.process = process;
        this.portSuffix = portSuffix;
    }

    /** Returns the usage of a process that listens on a port, from now on. */
    public static ProcessUsage of(long pid, int port) {
        ProcessUsage usage = new ProcessUsage(Path.of("/proc", Long.toString(pid)), ":%04X".formatted(port));
        usage.sampler.start();
        return usage;
    }

    /**
     * Returns the largest memory so far, in bytes: what the process has in memory, and what was received on connections to
     * its port and not read yet.
     */
    public long peakBytes() {
        return peakBytes;
    }

    /** Returns the largest number of open descriptors so far. */
    public long peakDescriptors() {
        return peakDescriptors;
    }

    private void sample() {
        while (!closed) {
            try {
                peakBytes = Math.max(peakBytes, residentBytes() + unreadBytes());
                try (Stream<Path> descriptors = Files.list(process.resolve("fd"))) {
                    peakDescriptors = Math.max(peakDescriptors, descriptors.count());
                }
                Thread.sleep(INTERVAL_MILLIS);
            } catch (IOException e) {
                return; // the process has ended
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private long residentBytes() throws IOException {
        try (Stream<String> lines = Files.lines(process.resolve("status"))) {
            return lines.filter(line -> line.startsWith("VmRSS:"))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")) << 10)
                    .sum();
        }
    }

    private long unreadBytes() throws IOException {
        long bytes = 0;
        for (String table : new String[] {"net/tcp", "net/tcp6"}) {
            for (String line : Files.readAllLines(process.resolve(table))) {
                String[] fields = line.trim().split(" +", -1);
                if (fields[1].endsWith(portSuffix) && !fields[3].equals("0A")) {
                    bytes += Long.parseLong(fields[4].substring(fields[4].indexOf(':') + 1), RADIX);
                }
            }
        }
        return bytes;
    }

    @Override
    public void close() {
        closed = true;
        sampler.interrupt();
    }
}
