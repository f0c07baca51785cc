package org.tanagerhinge.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.eclipse.jetty.client.ContentResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerhinge.bench.cluster.LocalCluster;
import org.tanagerhinge.node.platform.EtcdStore;
import org.tanagerhinge.node.platform.PlatformStore;
import org.tanagerhinge.standin.EngineModel;

/** Guards against routers and agents that stop following their servers because of one that another writer has added. */
class OddServersTest {
    private static final String SERVERS = "tanagerhinge/config/servers";
    private static final ObjectMapper JSON = new ObjectMapper();

    private LocalCluster cluster;
    private PlatformStore store;

    @BeforeEach
    void setUp() throws Exception {
        cluster = LocalCluster.create(LocalCluster.Kind.PRODUCT).profiles(Callers.profiles());
        store = EtcdStore.at(cluster.http(), cluster.platform().url(), Duration.ofSeconds(2));
        cluster.engine("engine-5", "kita", EngineModel.small()).router("router-1", "kita");
        cluster.awaitReady();
    }

    @AfterEach
    void tearDown() {
        cluster.close();
    }

    private ObjectNode servers() throws Exception {
        return (ObjectNode) JSON.readTree(store.read(SERVERS).orElseThrow().value());
    }

    private void write(ObjectNode document) throws Exception {
        long version = store.read(SERVERS).orElseThrow().version();
        document.put("revision", document.path("revision").asLong() + 1);
        assertTrue(store.write(SERVERS, document.toString(), version));
    }

    /** Adds an odd server before all others. */
    private static void add(ObjectNode document, String oddServer) throws Exception {
        ArrayNode changed = JSON.createArrayNode().add(JSON.readTree(oddServer));
        changed.addAll((ArrayNode) document.path("servers"));
        document.set("servers", changed);
    }

    private void assertServes(String router) throws Exception {
        String url = "http://127.0.0.1:" + cluster.router(router).port() + "/v1/chat/completions";
        ContentResponse response = Callers.post(
                        cluster.http(), url, "chat", Callers.completion("a card [length 5]", true), Map.of())
                .send();
        assertEquals(200, response.getStatus(), response.getContentAsString());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{'id':'odd','agentAddress':'127.0.0.1:70000','failureDomain':'kita','targets':['tanager-8b']}",
                "{'id':'odd','agentAddress':'127.0.0.1:0','failureDomain':'kita','targets':['tanager-8b']}",
                "{'id':'odd','agentAddress':'dead.beef:80','failureDomain':'kita','targets':['tanager-8b']}",
                "{'id':'odd','agentAddress':'256.1.1.1:80','failureDomain':'kita','targets':['tanager-8b']}",
                "{'id':'odd','agentAddress':1e999,'failureDomain':{},'targets':null}",
                "{'id':[[[[[[[[]]]]]]]]}",
                "1e400"
            })
    void otherServersAreFollowedBesideAnOddOne(String oddServer) throws Exception {
        int oldPort = cluster.killAgent("engine-5");
        cluster.startAgent("engine-5", 0);
        int newPort = cluster.agent("engine-5").port();
        ObjectNode document = (ObjectNode) JSON.readTree(servers().toString().replace(":" + oldPort, ":" + newPort));
        add(document, oddServer.replace('\'', '"'));
        write(document);
        LocalCluster.await(() -> cluster.router("router-1").linkCount() == 1);
        assertServes("router-1");

        cluster.router("router-2", "chuo");
        LocalCluster.await(() -> cluster.router("router-2").linkCount() == 1);
        assertServes("router-2");
        assertEquals(List.of(), internalErrors());
    }

    /** Guards against large entries of others beside the documents, which no response has room for. */
    @Test
    void documentsAreReadBesideLargeEntries() throws Exception {
        for (int i = 0; i < 3; i++) {
            store.write("tanagerhinge/config/odd-" + i, "[".repeat(900_000), 0);
        }
        ObjectNode document = servers();
        write(document);
        long revision = document.path("revision").asLong();
        LocalCluster.await(() -> cluster.router("router-1").revision().servers() == revision);
        cluster.router("router-2", "chuo");
        LocalCluster.await(() -> cluster.router("router-2").linkCount() == 1);
    }

    private List<String> internalErrors() {
        return cluster.metricLines("tanagerhinge_").stream()
                .filter(line -> line.contains("internal_error"))
                .toList();
    }
}
