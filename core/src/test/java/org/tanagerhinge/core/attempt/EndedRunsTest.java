package org.tanagerhinge.core.attempt;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against a run that is taken for sound although its server crashed right after it, and against forgetting it. */
class EndedRunsTest {
    private static final SuspectRun RUN = new SuspectRun(new RequestFingerprint(1, 2), List.of(PartId.of("part")));

    private final EndedRuns runs = EndedRuns.create();

    @Test
    void completedRunIsSoundOnceItsServerHasStayedUp() {
        runs.add("a", RUN, true, 0);
        assertEquals(List.of(), runs.takeSound(PartQuarantine.SOUND_RUN_MILLIS - 1));
        assertEquals(1, runs.takeSound(PartQuarantine.SOUND_RUN_MILLIS).size());
        assertEquals(List.of(), runs.takeSound(10_000));
    }

    @Test
    void runsOfACrashedServerAreTaken() {
        runs.add("a", RUN, true, 0);
        runs.add("b", RUN, true, 0);
        runs.add("a", RUN, false, 10);
        assertEquals(2, runs.takeCrashed("a"::equals).size());
        assertEquals(1, runs.takeSound(PartQuarantine.SOUND_RUN_MILLIS).size());
    }

    @Test
    void runThatWasNotCompletedIsNeverSoundAndForgottenLater() {
        runs.add("a", RUN, false, 0);
        runs.add("a", RUN, true, 0);
        assertEquals(1, runs.takeSound(2_000).size());
        assertEquals(1, runs.takeCrashed("a"::equals).size());
        runs.add("a", RUN, false, 2_000);
        assertEquals(List.of(), runs.takeSound(9_000));
        assertEquals(List.of(), runs.takeCrashed("a"::equals));
    }

    /** Guards against runs with many prompt parts that fill the heap. */
    @Test
    void partsOfAllRunsTogetherAreBounded() {
        List<PartId> parts =
                IntStream.range(0, 128).mapToObj(i -> PartId.of("part-" + i)).toList();
        for (int i = 0; i < 2_000; i++) {
            runs.add("a", new SuspectRun(new RequestFingerprint(1, i), parts), false, i);
        }
        assertEquals(EndedRuns.MAX_PARTS / parts.size(), runs.size());
        assertEquals(
                EndedRuns.MAX_PARTS / parts.size(),
                runs.takeCrashed("a"::equals).size());
        runs.add("a", RUN, true, 2_000);
        assertEquals(1, runs.size());
    }
}
