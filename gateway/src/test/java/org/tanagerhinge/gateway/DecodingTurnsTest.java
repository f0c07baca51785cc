package org.tanagerhinge.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class DecodingTurnsTest {
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(3);

    private long nowNanos;
    private final List<Runnable> scheduled = new ArrayList<>();
    private final DecodingTurns turns = new DecodingTurns(() -> nowNanos, (task, millis) -> scheduled.add(task));
    private final List<String> steps = new ArrayList<>();

    private Runnable connection(String name) {
        return () -> steps.add(name);
    }

    @Test
    void connectionThatIsAloneNeverWaits() {
        Runnable alone = connection("alone");
        for (int i = 0; i < 100; i++) {
            assertTrue(turns.spend(alone, STEP_NANOS));
        }
    }

    @Test
    void connectionsTakeTurnsInHalfOfTheTime() {
        Runnable first = connection("first");
        Runnable second = connection("second");
        turns.spend(first, STEP_NANOS);
        assertFalse(turns.spend(second, STEP_NANOS));
        turns.await(second);
        assertFalse(turns.spend(first, 0));
        turns.await(first);
        assertEquals(1, scheduled.size());
        scheduled.removeFirst().run();
        assertEquals(List.of(), steps);
        nowNanos += 2 * STEP_NANOS;
        scheduled.removeFirst().run();
        assertEquals(List.of("second", "first"), steps);
    }

    @Test
    void connectionsThatLeftHaveNoTurn() {
        Runnable left = connection("left");
        turns.spend(connection("other"), STEP_NANOS);
        turns.spend(left, STEP_NANOS);
        turns.await(left);
        turns.leave(left);
        nowNanos += TimeUnit.SECONDS.toNanos(1);
        scheduled.removeFirst().run();
        assertEquals(List.of(), steps);
        assertEquals(0, turns.waiting());
    }
}
