package org.tanagerhinge.core.chart;

import java.util.Map;

/**
 * Holds a state chart read from a file: states, events and transitions.
 *
 * <p>States and events are enums; the file lists the transitions. A chart is validated when it is read, so a program
 * with an invalid chart does not start.
 *
 * @param <S> the states
 * @param <E> the events
 */
public final class StateChart<S extends Enum<S>, E extends Enum<E>> {
    private final String name;
    private final S initial;
    private final Map<S, Map<E, S>> transitions;

    StateChart(String name, S initial, Map<S, Map<E, S>> transitions) {
        this.name = name;
        this.initial = initial;
        this.transitions = transitions;
    }

    /** Reads and validates the chart {@code /charts/NAME.json} on the class path. */
    public static <S extends Enum<S>, E extends Enum<E>> StateChart<S, E> load(
            String name, Class<S> states, Class<E> events) {
        return StateChartReader.read(name, states, events);
    }

    /** Returns a new state machine in the initial state. */
    public StateMachine<S, E> newStateMachine() {
        return new StateMachine<>(this, initial);
    }

    public String name() {
        return name;
    }

    /** Returns the state that an event leads to, or null if the chart has no such transition. */
    S next(S from, E event) {
        return transitions.getOrDefault(from, Map.of()).get(event);
    }
}
