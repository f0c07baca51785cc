package org.tanagerhinge.node.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Graceful stops of daemons that can't always tell whether they are drained. */
class GracefulStopTest {
    /** A daemon that answers as given, and then that it is drained. */
    private static final class ScriptedDaemon implements Daemon {
        private final Deque<Runnable> answers;
        private boolean closed;

        ScriptedDaemon(List<Runnable> answers) {
            this.answers = new ArrayDeque<>(answers);
        }

        @Override
        public void beginStop(Duration timeLeft) {}

        @Override
        public boolean isDrained() {
            Runnable answer = answers.poll();
            if (answer == null) {
                return true;
            }
            answer.run();
            return false;
        }

        @Override
        public Duration stopTimeout() {
            return Duration.ofSeconds(20);
        }

        @Override
        public void close() {
            closed = true;
        }
    }

    /** Guards against a stop that ends the process, with answers in progress, since its control thread is late. */
    @Test
    void stopGoesOnIfTheDaemonDoesNotAnswer() {
        ScriptedDaemon daemon = new ScriptedDaemon(List.of(() -> {}, () -> {
            throw new IllegalStateException("the control thread did not answer in time");
        }));
        assertTrue(GracefulStop.run(daemon, System.nanoTime()));
        assertTrue(daemon.closed);
        assertEquals(0, daemon.answers.size());
    }
}
