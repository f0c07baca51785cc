package org.tanagerhinge.core.chart;

/**
 * Runs one instance of a state chart. Not thread-safe.
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

    /** Returns whether the chart has a transition from the current state on an event. */
    public boolean accepts(E event) {
        return chart.next(state, event) != null;
    }

    /**
     * Makes the transition of the chart for an event and returns the new state.
     *
     * @throws IllegalStateException if the chart has no such transition, which is a programming error
     */
    public S fire(E event) {
        S next = chart.next(state, event);
        if (next == null) {
            throw new IllegalStateException("chart " + chart.name() + ": no transition from " + state + " on " + event);
        }
        state = next;
        return next;
    }

    /** Makes the transition for an event if the chart has one; returns whether it did. */
    public boolean tryFire(E event) {
        if (!accepts(event)) {
            return false;
        }
        fire(event);
        return true;
    }
}
