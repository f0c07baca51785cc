package org.tanagerhinge.bench.relay;

import java.util.ArrayList;
import java.util.List;

/**
 * The events of a stream as a caller read them.
 *
 * @param numbers ids of the events
 * @param runs names of the runs that wrote them, without repetitions in a row
 */
record StreamEvents(List<Integer> numbers, List<String> runs) {
    private static final String ID = "id: ";
    private static final String DATA = "data: ";

    /** Reads the complete events of a body that {@link PausingServer} wrote. */
    static StreamEvents of(String body) {
        List<Integer> numbers = new ArrayList<>();
        List<String> runs = new ArrayList<>();
        for (String event : body.substring(0, body.lastIndexOf("\n\n") + 1).split("\n\n", -1)) {
            for (String line : event.split("\n", -1)) {
                if (line.startsWith(ID)) {
                    numbers.add(Integer.parseInt(line.substring(ID.length())));
                } else if (line.startsWith(DATA)) {
                    String run = line.substring(DATA.length()).split(" ", -1)[0];
                    if (runs.isEmpty() || !runs.getLast().equals(run)) {
                        runs.add(run);
                    }
                }
            }
        }
        return new StreamEvents(numbers, runs);
    }

    /** Returns whether the events are numbered from 1 on, without a gap, a repetition or a change of the order. */
    boolean inOrder() {
        for (int i = 0; i < numbers.size(); i++) {
            if (numbers.get(i) != i + 1) {
                return false;
            }
        }
        return true;
    }

    /** Returns the number of events. */
    int count() {
        return numbers.size();
    }

    /** Returns how often the stream went on at another run. */
    int moves() {
        return Math.max(0, runs.size() - 1);
    }
}
