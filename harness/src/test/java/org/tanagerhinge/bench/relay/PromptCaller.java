package org.tanagerhinge.bench.relay;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.tanagerhinge.gateway.GatewayDaemon;
import org.tanagerhinge.platform.PlatformNames;

/** Sends requests that name the parts of their prompts; no two have the same path, body or last part. */
final class PromptCaller {
    private static final AtomicInteger NEXT_ID = new AtomicInteger();
    private static final int ANSWER_MILLIS = 10_000;

    private PromptCaller() {}

    /** Counts requests, and those of them that began at their first attempt. */
    static final class Tally {
        private final AtomicInteger sent = new AtomicInteger();
        private final AtomicInteger begun = new AtomicInteger();

        void count(boolean requestBegan) {
            sent.incrementAndGet();
            begun.addAndGet(requestBegan ? 1 : 0);
        }

        int sent() {
            return sent.get();
        }

        double share() {
            return begun.get() / (double) Math.max(1, sent.get());
        }

        @Override
        public String toString() {
            return begun + " of " + sent;
        }
    }

    /** Sends a request whose prompt begins with some parts and ends with one of its own; returns whether it began. */
    static boolean begins(GatewayDaemon gateway, List<String> sharedParts, String idSuffix) {
        try (RawCaller caller = RawCaller.to(gateway.address(), ANSWER_MILLIS)) {
            return caller.exchange(request(sharedParts, idSuffix)).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends such a request, and leaves after a time in milliseconds. */
    static void sendAndLeave(GatewayDaemon gateway, List<String> sharedParts, String idSuffix, long millis) {
        try (RawCaller caller = RawCaller.to(gateway.address(), ANSWER_MILLIS)) {
            caller.send(request(sharedParts, idSuffix));
            RelayScene.sleep(millis);
        } catch (IOException e) {
            // The gateway has been closed.
        }
    }

    private static String request(List<String> sharedParts, String idSuffix) {
        int id = NEXT_ID.getAndIncrement();
        StringBuilder prefix = new StringBuilder();
        sharedParts.forEach(part -> prefix.append(part).append(":200,"));
        String headers = PlatformNames.MODEL + ": m\r\n" + PlatformNames.TOKEN_COUNT + ": 900,80\r\n"
                + PlatformNames.PROMPT_PREFIX + ": " + prefix + Integer.toHexString(0x1000000 + id) + ":100\r\n";
        return RawCaller.request("POST", "/ask/" + id, "attempt-" + id + idSuffix, headers, "{\"n\":" + id + "}");
    }
}
