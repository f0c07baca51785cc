package org.tanagerhinge.core.chart;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.tanagerhinge.core.text.NameSuggestion;

/** Reads a chart from JSON and rejects unknown names, unreachable states, dead ends and unused events. */
final class StateChartReader {
    private static final ObjectMapper JSON = new ObjectMapper();

    private StateChartReader() {}

    static <S extends Enum<S>, E extends Enum<E>> StateChart<S, E> read(String name, Class<S> states, Class<E> events) {
        String path = "/charts/" + name + ".json";
        try (InputStream in = StateChartReader.class.getResourceAsStream(path)) {
            if (in == null) {
                throw new StateChartException(name, "resource not found: " + path);
            }
            return parse(name, JSON.readTree(in), states, events);
        } catch (IOException e) {
            throw new StateChartException(name, e);
        }
    }

    static <S extends Enum<S>, E extends Enum<E>> StateChart<S, E> parse(
            String name, JsonNode root, Class<S> states, Class<E> events) {
        S initial = constant(name, states, root.path("initial").asText());
        Set<S> terminal = EnumSet.noneOf(states);
        root.path("terminal").forEach(node -> terminal.add(constant(name, states, node.asText())));
        Map<S, Map<E, S>> transitions = new EnumMap<>(states);
        for (JsonNode transition : root.path("transitions")) {
            S from = constant(name, states, transition.path("from").asText());
            E event = constant(name, events, transition.path("event").asText());
            S to = constant(name, states, transition.path("to").asText());
            S previous = transitions
                    .computeIfAbsent(from, _ -> new EnumMap<>(events))
                    .put(event, to);
            if (previous != null) {
                throw new StateChartException(name, "two transitions from " + from + " on " + event);
            }
        }
        checkReachable(name, initial, transitions);
        checkTerminalStates(name, states, terminal, transitions);
        checkAllEventsUsed(name, events, transitions);
        return new StateChart<>(name, initial, transitions);
    }

    private static <T extends Enum<T>> T constant(String chart, Class<T> type, String constantName) {
        for (T value : type.getEnumConstants()) {
            if (value.name().equals(constantName)) {
                return value;
            }
        }
        List<String> known =
                Arrays.stream(type.getEnumConstants()).map(Enum::name).toList();
        throw new StateChartException(
                chart,
                "'" + constantName + "' is not one of " + known + NameSuggestion.didYouMean(constantName, known));
    }

    private static <S extends Enum<S>, E extends Enum<E>> void checkReachable(
            String name, S initial, Map<S, Map<E, S>> transitions) {
        Set<S> reached = EnumSet.of(initial);
        Deque<S> pending = new ArrayDeque<>(List.of(initial));
        while (!pending.isEmpty()) {
            for (S next : transitions.getOrDefault(pending.pop(), Map.of()).values()) {
                if (reached.add(next)) {
                    pending.push(next);
                }
            }
        }
        Set<S> unreachable = EnumSet.complementOf(EnumSet.copyOf(reached));
        if (!unreachable.isEmpty()) {
            throw new StateChartException(name, "unreachable states " + unreachable);
        }
    }

    private static <S extends Enum<S>, E extends Enum<E>> void checkTerminalStates(
            String name, Class<S> states, Set<S> terminal, Map<S, Map<E, S>> transitions) {
        for (S state : states.getEnumConstants()) {
            boolean hasTransitions = transitions.containsKey(state);
            if (hasTransitions == terminal.contains(state)) {
                throw new StateChartException(
                        name,
                        state
                                + (hasTransitions
                                        ? " is terminal but has transitions"
                                        : " is not terminal but has none"));
            }
        }
    }

    private static <S extends Enum<S>, E extends Enum<E>> void checkAllEventsUsed(
            String name, Class<E> events, Map<S, Map<E, S>> transitions) {
        Set<E> unused = EnumSet.allOf(events);
        transitions.values().forEach(row -> unused.removeAll(row.keySet()));
        if (!unused.isEmpty()) {
            throw new StateChartException(name, "unused events " + unused);
        }
    }
}
