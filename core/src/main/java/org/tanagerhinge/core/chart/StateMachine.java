package org.tanagerhinge.core.chart;

/**
 * One thing that goes through the states of a chart. Not safe for use by several threads.
 *
 * @param <S> the states
 * @param <E> the events
 */
public final class StateMachine<S extends Enum<S>, E extends Enum<E>> {
    private final StateChart<S, E> chart;
    private S state;

    StateMachine(StateChart<S, E> chart, S state) {
        this.chart = chart;
        this.state = state;
    }

    public S state() {
        return state;
    }

    /** Returns whether the machine is in a state. */
    public boolean isIn(S expected) {
        return state == expected;
    }

    /** Returns whether the chart takes an event in the current state. */
    public boolean accepts(E event) {
        return chart.next(state, event) != null;
    }

    /**
     * Moves to the state that the chart gives for an event.
     *
     * @throws IllegalStateException if the chart has no such transition, which is a fault of the program
     */
    public S fire(E event) {
        S next = chart.next(state, event);
        if (next == null) {
            throw new IllegalStateException("chart " + chart.name() + ": no transition from " + state + " on " + event);
        }
        state = next;
        return next;
    }

    /** Moves if the chart takes the event, and returns whether it did. */
    public boolean tryFire(E event) {
        if (!accepts(event)) {
            return false;
        }
        fire(event);
        return true;
    }
}
