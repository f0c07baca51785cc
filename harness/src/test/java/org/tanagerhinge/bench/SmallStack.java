package org.tanagerhinge.bench;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

/** Runs decoders of odd input on a thread with the stack of the deploy file, and bounds the memory that each uses. */
public final class SmallStack {
    private static final long STACK_BYTES = 256 << 10;
    /** Memory, garbage included, that a decoder may use for each byte of its input, and in addition to that. */
    private static final long BYTES_PER_BYTE = 2_000;

    private static final long FIXED_BYTES = 1 << 20;

    private SmallStack() {}

    /** Decodes an input; throws only what callers of the decoder expect. */
    @FunctionalInterface
    public interface Decoder {
        /** Decodes an input. */
        void decode(byte[] input) throws Exception;
    }

    /**
     * Decodes inputs one after the other.
     *
     * @param expected the exception that costs an input alone
     * @return the number of inputs that were decoded
     */
    public static int decodeAll(List<byte[]> inputs, Class<? extends Exception> expected, Decoder decoder) {
        AtomicReference<Throwable> failure = new AtomicReference<>();
        int[] decoded = new int[1];
        Thread thread = new Thread(
                null,
                () -> {
                    try {
                        decoded[0] = decodeEach(inputs, expected, decoder);
                    } catch (Throwable e) {
                        failure.set(e);
                    }
                },
                "small stack",
                STACK_BYTES);
        thread.start();
        try {
            thread.join();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
        if (failure.get() != null) {
            throw new AssertionError(failure.get().getMessage(), failure.get());
        }
        return decoded[0];
    }

    private static int decodeEach(List<byte[]> inputs, Class<? extends Exception> expected, Decoder decoder) {
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        decodeOne(inputs.getFirst(), expected, decoder); // loads classes
        int decoded = 0;
        for (byte[] input : inputs) {
            long before = threads.getCurrentThreadAllocatedBytes();
            decoded += decodeOne(input, expected, decoder) ? 1 : 0;
            long used = threads.getCurrentThreadAllocatedBytes() - before;
            if (used > FIXED_BYTES + BYTES_PER_BYTE * input.length) {
                throw new AssertionError(used + " bytes of memory for " + shown(input));
            }
        }
        return decoded;
    }

    /** Returns whether an input was decoded. */
    private static boolean decodeOne(byte[] input, Class<? extends Exception> expected, Decoder decoder) {
        try {
            decoder.decode(input);
            return true;
        } catch (Throwable e) {
            if (!expected.isInstance(e)) {
                throw new AssertionError(e + " for " + shown(input), e);
            }
            return false;
        }
    }

    private static String shown(byte[] input) {
        String text = new String(input, StandardCharsets.UTF_8);
        return input.length + " bytes: " + text.substring(0, Math.min(200, text.length()));
    }
}
