package org.tanagerhinge.core.chart;

import java.util.Map;

/**
 * A state chart read from a file: the states, events and transitions of one kind of thing.
 *
 * <p>States and events are enums of the code; the file says which event leads from which state to which. A chart is
 * checked when it is read, so a program with a bad chart does not start.
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

    /** Reads and checks the chart {@code /charts/NAME.json} on the class path. */
    public static <S extends Enum<S>, E extends Enum<E>> StateChart<S, E> load(
            String name, Class<S> states, Class<E> events) {
        return StateChartReader.read(name, states, events);
    }

    /** Returns a machine in the initial state. */
    public StateMachine<S, E> newStateMachine() {
        return new StateMachine<>(this, initial);
    }

    public String name() {
        return name;
    }

    /** Returns the state that an event leads to, or null where the chart has no such transition. */
    S next(S from, E event) {
        return transitions.getOrDefault(from, Map.of()).get(event);
    }
}
