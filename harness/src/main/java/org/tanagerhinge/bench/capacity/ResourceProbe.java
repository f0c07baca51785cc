package org.tanagerhinge.bench.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.util.function.Predicate;

/** Reads the CPU time of threads and the heap in use. */
final class ResourceProbe {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final int GC_RUNS = 4;

    private ResourceProbe() {}

    /** Returns the CPU time of the calling thread in nanoseconds. */
    static long ownCpuNanos() {
        return THREADS.getCurrentThreadCpuTime();
    }

    /** Returns the total CPU time of the threads whose names match, in nanoseconds. */
    static long cpuNanos(Predicate<String> nameFilter) {
        long totalNanos = 0;
        for (long id : THREADS.getAllThreadIds()) {
            ThreadInfo info = THREADS.getThreadInfo(id);
            if (info != null && nameFilter.test(info.getThreadName())) {
                totalNanos += Math.max(0, THREADS.getThreadCpuTime(id));
            }
        }
        return totalNanos;
    }

    /** Returns the heap in use after collecting garbage, in bytes. */
    static long heapBytes() {
        for (int i = 0; i < GC_RUNS; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
