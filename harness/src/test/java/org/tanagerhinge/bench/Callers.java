package org.tanagerhinge.bench;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.tanagerhinge.core.config.ConfigJson;
import org.tanagerhinge.core.config.InvalidConfigException;
import org.tanagerhinge.core.config.ProfilesDocument;
import org.tanagerhinge.core.id.KeyDigest;

/** What the end-to-end tests share: profiles, a key, and plain calls of a router. */
final class Callers {
    static final String KEY = "sk-test-umea";

    private Callers() {}

    static ProfilesDocument profiles() throws InvalidConfigException {
        return ConfigJson.parseProfiles("""
                {"profiles": [
                  {"name": "card", "tier": 1, "idempotent": false, "deadlineMillis": 20000, "sharePercent": 30},
                  {"name": "chat", "tier": 2, "idempotent": true, "deadlineMillis": 20000, "sharePercent": 30},
                  {"name": "status", "tier": 3, "idempotent": false, "deadlineMillis": 10000, "sharePercent": 10}],
                 "workspaces": [{"name": "salon-umea", "keySha256": ["%s"]}]}
                """.formatted(KeyDigest.sha256Hex(KEY)));
    }

    static String completion(String message, boolean stream) {
        return "{\"model\": \"tanager-8b\", \"stream\": " + stream
                + ", \"messages\": [{\"role\": \"user\", \"content\": \"" + message + "\"}]}";
    }

    /** Returns a completion with a system message before the one of the user. */
    static String completion(String system, String message, boolean stream) {
        return "{\"model\": \"tanager-8b\", \"stream\": " + stream
                + ", \"messages\": [{\"role\": \"system\", \"content\": \"" + system
                + "\"}, {\"role\": \"user\", \"content\": \"" + message + "\"}]}";
    }

    static Request post(HttpClient http, String url, String profile, String body, Map<String, String> headers) {
        return http.POST(url)
                .timeout(40, TimeUnit.SECONDS)
                .body(new StringRequestContent("application/json", body))
                .headers(fields -> {
                    fields.put("Authorization", "Bearer " + KEY);
                    fields.put("X-Tanagerhinge-Profile", profile);
                    headers.forEach(fields::put);
                });
    }

    /** Returns the text of a streamed answer, or fails if its end marker is missing. */
    static String text(ContentResponse response) {
        StringBuilder text = new StringBuilder();
        List<String> events = response.getContentAsString()
                .lines()
                .filter(line -> line.startsWith("data: "))
                .map(line -> line.substring("data: ".length()))
                .toList();
        if (!events.get(events.size() - 1).equals("[DONE]")) {
            throw new IllegalStateException("no end marker: " + response.getContentAsString());
        }
        for (String event : events.subList(0, events.size() - 1)) {
            int at = event.indexOf("\"content\":\"");
            if (at >= 0) {
                int from = at + "\"content\":\"".length();
                text.append(event, from, event.indexOf('"', from));
            }
        }
        return text.toString();
    }
}
