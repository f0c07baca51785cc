package org.tanagerhinge.core.attempt;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.function.Predicate;

/**
 * Remembers the runs that ended lately, each until its server has stayed up for a while after it.
 *
 * <p>A run may crash its server although it is not in flight any more: its caller has left, or its answer ended with
 * the connection and looked complete. Until then it is no evidence that the request and its prompt are sound.
 */
public final class EndedRuns {
    /** How long a run is remembered that was not completed; longer than a silent server's connections take to break. */
    private static final long INCOMPLETE_RETENTION_MILLIS = 5_000;

    private static final int MAX_RUNS = 8_192;
    /** Largest number of prompt parts of all runs together; runs with many parts take more memory than others. */
    static final int MAX_PARTS = 65_536;

    private final Deque<Ended> runs = new ArrayDeque<>();
    private int parts;

    private EndedRuns() {}

    /** Creates an empty memory. */
    public static EndedRuns create() {
        return new EndedRuns();
    }

    /**
     * A run that has ended.
     *
     * @param instanceId id of the instance of the server at which it ran
     * @param completed whether the server answered it without an error and to the end, as far as is known
     */
    public record Ended(String instanceId, SuspectRun run, boolean completed, long atMillis) {}

    /** Records that a run has ended. */
    public void add(String instanceId, SuspectRun run, boolean completed, long nowMillis) {
        parts += run.parts().size();
        while (runs.size() >= MAX_RUNS || (parts > MAX_PARTS && !runs.isEmpty())) {
            parts -= runs.removeFirst().run().parts().size();
        }
        runs.addLast(new Ended(instanceId, run, completed, nowMillis));
    }

    /** Returns the number of runs that are remembered. */
    int size() {
        return runs.size();
    }

    private void remove(Iterator<Ended> iterator, Ended ended) {
        iterator.remove();
        parts -= ended.run().parts().size();
    }

    /** Removes and returns the runs that ended at a server that has crashed. */
    public List<Ended> takeCrashed(Predicate<String> crashedInstance) {
        List<Ended> crashed = new ArrayList<>();
        Iterator<Ended> iterator = runs.iterator();
        while (iterator.hasNext()) {
            Ended ended = iterator.next();
            if (crashedInstance.test(ended.instanceId())) {
                crashed.add(ended);
                remove(iterator, ended);
            }
        }
        return crashed;
    }

    /** Removes and returns the completed runs whose servers have stayed up long enough since. */
    public List<Ended> takeSound(long nowMillis) {
        List<Ended> sound = new ArrayList<>();
        Iterator<Ended> iterator = runs.iterator();
        while (iterator.hasNext()) {
            Ended ended = iterator.next();
            long ageMillis = nowMillis - ended.atMillis();
            if (ageMillis < PartQuarantine.SOUND_RUN_MILLIS) {
                break;
            }
            if (ended.completed()) {
                sound.add(ended);
                remove(iterator, ended);
            } else if (ageMillis >= INCOMPLETE_RETENTION_MILLIS) {
                remove(iterator, ended);
            }
        }
        return sound;
    }
}
