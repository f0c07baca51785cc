package org.tanagerhinge.core.chart;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the transitions of a chart, and that an invalid chart is rejected with the reason. */
class StateChartTest {
    enum State {
        OPEN,
        SHUT
    }

    enum Event {
        CLOSE,
        KNOCK
    }

    private static StateChart<State, Event> parse(String json) throws JsonProcessingException {
        return StateChartReader.parse(
                "door", new ObjectMapper().readTree(json.replace('\'', '"')), State.class, Event.class);
    }

    @Test
    void stateMachineFollowsChart() throws Exception {
        StateMachine<State, Event> door = parse("{'initial':'OPEN','terminal':['SHUT'],'transitions':["
                        + "{'from':'OPEN','event':'KNOCK','to':'OPEN'},{'from':'OPEN','event':'CLOSE','to':'SHUT'}]}")
                .newStateMachine();
        door.fire(Event.CLOSE);
        assertTrue(door.isIn(State.SHUT));
        assertThrows(IllegalStateException.class, () -> door.fire(Event.KNOCK));
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
                    {'initial':'OPN','transitions':[]} | did you mean 'OPEN'
                    {'initial':'OPEN','terminal':['OPEN'],'transitions':[]} | unreachable states [SHUT]
                    {'initial':'OPEN','terminal':['SHUT'],'transitions':[{'from':'OPEN','event':'CLOSE','to':'SHUT'}]} | unused events [KNOCK]
                    {'initial':'OPEN','terminal':[],'transitions':[{'from':'OPEN','event':'CLOSE','to':'SHUT'}]} | SHUT is not terminal but has none
                    {'initial':'OPEN','terminal':['SHUT'],'transitions':[{'from':'OPEN','event':'CLOSE','to':'SHUT'},{'from':'OPEN','event':'CLOSE','to':'OPEN'}]} | two transitions
                    """, quoteCharacter = '`')
    void rejectsInvalidChart(String json, String problem) {
        StateChartException thrown = assertThrows(StateChartException.class, () -> parse(json));
        assertTrue(thrown.getMessage().contains(problem), thrown.getMessage());
    }
}
