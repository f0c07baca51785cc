package org.tanagerhinge.node.control;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.tanagerhinge.node.metrics.NodeMetrics;

/** Guards against control state that is frozen since a periodic event has ended. */
class ControlLoopTest {
    private static final long PATIENCE_SECONDS = 20;

    @Test
    void periodicEventContinuesAfterAnError() throws InterruptedException {
        NodeMetrics metrics = NodeMetrics.create();
        CountDownLatch runs = new CountDownLatch(3);
        try (ControlLoop loop = ControlLoop.start("control", metrics)) {
            loop.scheduleEvery(Duration.ofMillis(5), () -> {
                runs.countDown();
                throw new StackOverflowError("deliberate");
            });
            assertTrue(runs.await(PATIENCE_SECONDS, TimeUnit.SECONDS));
        }
        assertTrue(metrics.text().contains("reason=\"internal_error\""));
    }

    @Test
    void queryThatThrowsAnErrorFails() {
        try (ControlLoop loop = ControlLoop.start("control", NodeMetrics.create())) {
            assertThrows(
                    IllegalStateException.class,
                    () -> loop.query(() -> {
                        throw new StackOverflowError("deliberate");
                    }));
        }
    }
}
