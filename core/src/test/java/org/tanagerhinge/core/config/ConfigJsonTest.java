package org.tanagerhinge.core.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Documents survive being written and read, and every problem of a bad one is named. */
class ConfigJsonTest {
    private static final String GOOD = "{'revision':3,'changes':['b','a'],'profiles':[{'name':'card','tier':1,"
            + "'idempotent':false,'firstTokenTargetMillis':800,'deadlineMillis':9000,'sharePercent':30}],"
            + "'workspaces':[{'name':'umea','weight':2}]}";

    private static String quoted(String json) {
        return json.replace('\'', '"');
    }

    @Test
    void profilesSurviveBeingWrittenAndRead() throws Exception {
        ProfilesDocument document = ConfigJson.parseProfiles(quoted(GOOD));
        assertEquals(document, ConfigJson.parseProfiles(ConfigJson.render(document)));
    }

    @Test
    void serversSurviveBeingWrittenAndRead() throws Exception {
        ServersDocument document = ConfigJson.parseServers(quoted("{'revision':1,'servers':[{'id':'e1',"
                + "'agentAddress':'127.0.0.1:70','failureDomain':'kita','kind':'model','targets':['m','n']}]}"));
        assertEquals(document, ConfigJson.parseServers(ConfigJson.render(document)));
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
                    'tier':1 | 'tier':9 | tier: 9: expected a number from 1 to 6
                    'tier':1 | 'teir':1 | teir: no such field, did you mean 'tier'?
                    'sharePercent':30 | 'sharePercent':130 | expected a number from 0 to 100
                    'idempotent':false | 'idempotent':'no' | expected true or false
                    'deadlineMillis':9000 | 'deadlineMillis':9000,'wholeTargetMillis':9001 | is over deadlineMillis
                    'name':'card' | 'name':'a card' | expected 1 to 64 letters
                    """)
    void aProblemIsNamed(String before, String after, String problem) {
        InvalidConfigException refused = assertThrows(
                InvalidConfigException.class, () -> ConfigJson.parseProfiles(quoted(GOOD.replace(before, after))));
        assertTrue(refused.getMessage().contains(problem), refused.getMessage());
    }

    @Test
    void allProblemsAreNamedTogether() {
        InvalidConfigException refused = assertThrows(
                InvalidConfigException.class,
                () -> ConfigJson.parseProfiles(quoted(GOOD.replace("'tier':1", "'tier':0,'queueBound':0"))));
        assertEquals(2, refused.problems().size());
    }

    @Test
    void theNewerOfEachDocumentIsKept() throws Exception {
        ProfilesDocument older = ConfigJson.parseProfiles(quoted(GOOD));
        ProfilesDocument newer = older.nextRevision(4, "c");
        ClusterConfig held = new ClusterConfig(newer, ServersDocument.EMPTY);
        assertEquals(
                newer,
                held.merge(new ClusterConfig(older, ServersDocument.EMPTY)).profiles());
        assertEquals(
                4,
                new ClusterConfig(older, ServersDocument.EMPTY)
                        .merge(held)
                        .revision()
                        .profiles());
    }
}
