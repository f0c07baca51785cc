package org.tanagerhinge.core.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that documents are written and read back unchanged, and that every problem of an invalid one is reported. */
class ConfigJsonTest {
    private static final String VALID_PROFILES =
            "{'revision':3,'changes':['b','a'],'profiles':[{'name':'card','tier':1,"
                    + "'idempotent':false,'firstTokenTargetMillis':800,'deadlineMillis':9000,'sharePercent':30}],"
                    + "'workspaces':[{'name':'umea','weight':2}]}";

    private static String withDoubleQuotes(String json) {
        return json.replace('\'', '"');
    }

    @Test
    void profilesRoundTripThroughJson() throws Exception {
        ProfilesDocument document = ConfigJson.parseProfiles(withDoubleQuotes(VALID_PROFILES));
        assertEquals(document, ConfigJson.parseProfiles(ConfigJson.render(document)));
    }

    @Test
    void serversRoundTripThroughJson() throws Exception {
        ServersDocument document = ConfigJson.parseServers(withDoubleQuotes("{'revision':1,'servers':[{'id':'e1',"
                + "'agentAddress':'127.0.0.1:70','failureDomain':'kita','kind':'model','targets':['m','n']}]}"));
        assertEquals(document, ConfigJson.parseServers(ConfigJson.render(document)));
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
                    'tier':1 | 'tier':9 | tier: 9: expected a number from 1 to 6
                    'tier':1 | 'teir':1 | teir: unknown field, did you mean 'tier'?
                    'sharePercent':30 | 'sharePercent':130 | expected a number from 0 to 100
                    'idempotent':false | 'idempotent':'no' | expected true or false
                    'deadlineMillis':9000 | 'deadlineMillis':9000,'wholeTargetMillis':9001 | exceeds deadlineMillis
                    'name':'card' | 'name':'a card' | expected 1 to 64 letters
                    """)
    void reportsInvalidField(String before, String after, String problem) {
        InvalidConfigException thrown = assertThrows(
                InvalidConfigException.class,
                () -> ConfigJson.parseProfiles(withDoubleQuotes(VALID_PROFILES.replace(before, after))));
        assertTrue(thrown.getMessage().contains(problem), thrown.getMessage());
    }

    /** Guards against an address to which no connection can be made, or for which a name is looked up. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "127.0.0.1:0",
                "127.0.0.1:65536",
                "127.0.0.1:70000",
                "127.0.0.1:99999999999",
                "256.1.1.1:80",
                "dead.beef:80",
                "::1%lo:80",
                ":80",
                "127.0.0.1"
            })
    void reportsInvalidAddress(String address) {
        String text = withDoubleQuotes("{'revision':1,'servers':[{'id':'e1','agentAddress':'" + address
                + "','failureDomain':'kita','kind':'model','targets':['m']}]}");
        InvalidConfigException thrown = assertThrows(InvalidConfigException.class, () -> ConfigJson.parseServers(text));
        assertTrue(thrown.getMessage().contains("expected IP:PORT"), thrown.getMessage());
    }

    @Test
    void reportsAllProblemsTogether() {
        InvalidConfigException thrown = assertThrows(
                InvalidConfigException.class,
                () -> ConfigJson.parseProfiles(
                        withDoubleQuotes(VALID_PROFILES.replace("'tier':1", "'tier':0,'queueBound':0"))));
        assertEquals(2, thrown.problems().size());
    }

    @Test
    void mergeKeepsNewerVersionOfEachDocument() throws Exception {
        ProfilesDocument older = ConfigJson.parseProfiles(withDoubleQuotes(VALID_PROFILES));
        ProfilesDocument newer = older.nextRevision(4, "c");
        ClusterConfig current = new ClusterConfig(newer, ServersDocument.EMPTY);
        assertEquals(
                newer,
                current.merge(new ClusterConfig(older, ServersDocument.EMPTY)).profiles());
        assertEquals(
                4,
                new ClusterConfig(older, ServersDocument.EMPTY)
                        .merge(current)
                        .revision()
                        .profiles());
    }
}
