package org.tanagerhinge.core.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import org.tanagerhinge.core.id.FailureDomain;
import org.tanagerhinge.core.id.ProfileName;
import org.tanagerhinge.core.id.ServerId;
import org.tanagerhinge.core.id.TargetName;
import org.tanagerhinge.core.id.WorkspaceId;
import org.tanagerhinge.core.net.SocketAddresses;

/**
 * Reads and writes the shared documents as JSON and validates every value.
 *
 * <p>Durations are whole milliseconds. Absent fields take the defaults documented in {@code docs/OPERATIONS.md}.
 */
public final class ConfigJson {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
    private static final String SERVERS_DOCUMENT = "servers document";
    private static final long MAX_DURATION_MILLIS = 86_400_000L;
    private static final long DEFAULT_DEADLINE_MILLIS = 60_000L;
    private static final int DEFAULT_MAX_QUEUED_REQUESTS = 64;
    private static final double DEFAULT_PERCENTILE = 95;
    private static final double MAX_TOTAL_SHARE_PERCENT = 100;

    private ConfigJson() {}

    /** Reads and validates a profiles document. */
    public static ProfilesDocument parseProfiles(String text) throws InvalidConfigException {
        List<String> problems = new ArrayList<>();
        JsonNode root = parseTree("profiles document", text);
        JsonFields fields = new JsonFields(root, "document", problems);
        List<Profile> profiles = new ArrayList<>();
        int index = 0;
        for (JsonNode node : fields.objects("profiles")) {
            profiles.add(parseProfile(node, "profiles[" + index++ + "]", problems));
        }
        List<Workspace> workspaces = new ArrayList<>();
        index = 0;
        for (JsonNode node : fields.objects("workspaces")) {
            workspaces.add(parseWorkspace(node, "workspaces[" + index++ + "]", problems));
        }
        long revision = fields.revision();
        List<String> changeIds = fields.strings("changes");
        findConflicts(profiles, workspaces).forEach(problem -> JsonFields.addProblem(problems, problem));
        throwIfInvalid("profiles document", problems);
        return new ProfilesDocument(revision, changeIds, profiles, workspaces);
    }

    /** Reads and validates a servers document. */
    public static ServersDocument parseServers(String text) throws InvalidConfigException {
        List<String> problems = new ArrayList<>();
        ServersDocument document = readServers(text, problems::add);
        throwIfInvalid(SERVERS_DOCUMENT, problems);
        return document;
    }

    /**
     * Reads a servers document that others may have written without the checks of an edit. A server whose entry is
     * invalid is left out, without effect on the others.
     *
     * @param onProblem receives the problems of entries
     * @throws InvalidConfigException if the document as a whole is invalid
     */
    public static ServersDocument readServers(String text, Consumer<String> onProblem) throws InvalidConfigException {
        List<String> documentProblems = new ArrayList<>();
        JsonNode root = parseTree(SERVERS_DOCUMENT, text);
        JsonFields fields = new JsonFields(root, "document", documentProblems);
        Map<ServerId, BackendServer> servers = new LinkedHashMap<>();
        int reported = 0;
        int index = 0;
        JsonNode nodes = root.path("servers");
        if (!nodes.isMissingNode() && !nodes.isArray()) {
            documentProblems.add("document.servers: expected an array");
        }
        for (JsonNode node : nodes) {
            List<String> problems = new ArrayList<>();
            BackendServer server = parseServer(node, "servers[" + index++ + "]", problems);
            if (server != null && servers.containsKey(server.id())) {
                JsonFields.addProblem(problems, "server '" + server.id() + "' is listed twice");
            } else if (problems.isEmpty()) {
                servers.put(server.id(), server);
            }
            for (String problem : problems) {
                if (reported++ < JsonFields.MAX_PROBLEMS) {
                    onProblem.accept(problem);
                }
            }
        }
        long revision = fields.revision();
        List<String> changeIds = fields.strings("changes");
        throwIfInvalid(SERVERS_DOCUMENT, documentProblems);
        return new ServersDocument(revision, changeIds, List.copyOf(servers.values()));
    }

    /** Writes a profiles document; {@link #parseProfiles} reads it back to an equal one. */
    public static String render(ProfilesDocument document) {
        ObjectNode root = JSON.createObjectNode();
        root.put("revision", document.revision());
        document.changeIds().forEach(root.putArray("changes")::add);
        ArrayNode profiles = root.putArray("profiles");
        document.profiles().forEach(profile -> profiles.add(toJson(profile)));
        ArrayNode workspaces = root.putArray("workspaces");
        for (Workspace workspace : document.workspaces()) {
            ObjectNode node = workspaces.addObject();
            node.put("name", workspace.id().value());
            workspace.keySha256().forEach(node.putArray("keySha256")::add);
            node.put("weight", workspace.weight());
        }
        return root.toPrettyString();
    }

    /** Writes a servers document; {@link #parseServers} reads it back to an equal one. */
    public static String render(ServersDocument document) {
        ObjectNode root = JSON.createObjectNode();
        root.put("revision", document.revision());
        document.changeIds().forEach(root.putArray("changes")::add);
        ArrayNode servers = root.putArray("servers");
        for (BackendServer server : document.servers()) {
            ObjectNode node = servers.addObject();
            node.put("id", server.id().value());
            node.put("agentAddress", server.agentAddress());
            node.put("failureDomain", server.failureDomain().value());
            node.put("kind", server.kind().label());
            ArrayNode targets = node.putArray("targets");
            server.targets().stream().sorted().forEach(target -> targets.add(target.value()));
            node.put("mark", server.desiredState().label());
        }
        return root.toPrettyString();
    }

    /** Writes one profile, to be displayed and compared. */
    public static String render(Profile profile) {
        return toJson(profile).toPrettyString();
    }

    private static ObjectNode toJson(Profile profile) {
        ObjectNode node = JSON.createObjectNode();
        node.put("name", profile.name().value());
        node.put("tier", profile.tier());
        node.put("idempotent", profile.idempotent());
        node.put("firstTokenTargetMillis", profile.firstTokenTarget().toMillis());
        node.put("wholeTargetMillis", profile.completionTarget().toMillis());
        node.put("betweenTokensTargetMillis", profile.interTokenTarget().toMillis());
        node.put("percentile", profile.percentile());
        node.put("deadlineMillis", profile.deadline().toMillis());
        node.put("sharePercent", profile.sharePercent());
        node.put("queueBound", profile.maxQueuedRequests());
        node.put("workspaceConcurrency", profile.workspaceConcurrency());
        node.put("workspaceRate", profile.workspaceRequestsPerSecond());
        return node;
    }

    private static Profile parseProfile(JsonNode node, String path, List<String> problems) {
        JsonFields fields = new JsonFields(node, path, problems);
        Profile profile = new Profile(
                fields.id("name", ProfileName::of),
                fields.integer("tier", 1, Profile.LOWEST_TIER, Profile.LOWEST_TIER),
                fields.bool("idempotent", true),
                fields.millis("firstTokenTargetMillis", 0, MAX_DURATION_MILLIS, 0),
                fields.millis("wholeTargetMillis", 0, MAX_DURATION_MILLIS, 0),
                fields.millis("betweenTokensTargetMillis", 0, MAX_DURATION_MILLIS, 0),
                fields.number("percentile", 1, 100, DEFAULT_PERCENTILE),
                fields.millis("deadlineMillis", 1, MAX_DURATION_MILLIS, DEFAULT_DEADLINE_MILLIS),
                fields.number("sharePercent", 0, MAX_TOTAL_SHARE_PERCENT, 0),
                fields.integer("queueBound", 1, 100_000, DEFAULT_MAX_QUEUED_REQUESTS),
                fields.integer("workspaceConcurrency", 0, 100_000, 0),
                fields.number("workspaceRate", 0, 1e6, 0));
        fields.rejectUnknownFields();
        return profile;
    }

    private static Workspace parseWorkspace(JsonNode node, String path, List<String> problems) {
        JsonFields fields = new JsonFields(node, path, problems);
        Workspace workspace = new Workspace(
                fields.id("name", WorkspaceId::of),
                fields.strings("keySha256"),
                fields.number("weight", 0.01, 1000, 1));
        fields.rejectUnknownFields();
        for (String hash : workspace.keySha256()) {
            if (!SHA256.matcher(hash).matches()) {
                JsonFields.addProblem(
                        problems, path + ".keySha256: expected the lower-case hex SHA-256 of a key, not the key");
            }
        }
        return workspace;
    }

    /** Returns a server, null if it has no valid id or failure domain. */
    private static BackendServer parseServer(JsonNode node, String path, List<String> problems) {
        if (!node.isObject()) {
            JsonFields.addProblem(problems, path + ": expected an object");
            return null;
        }
        JsonFields fields = new JsonFields(node, path, problems);
        ServerId id = fields.id("id", ServerId::of);
        String address = fields.string("agentAddress", "");
        if (SocketAddresses.parse(address).isEmpty()) {
            JsonFields.addProblem(
                    problems, path + ".agentAddress: '" + address + "': expected IP:PORT, for example 127.0.0.1:7701");
        }
        FailureDomain domain = fields.id("failureDomain", FailureDomain::of);
        ServerKind kind = fields.enumLabel("kind", ServerKind.class, ServerKind.MODEL);
        Set<TargetName> targets = new LinkedHashSet<>();
        for (String target : fields.strings("targets")) {
            try {
                targets.add(TargetName.of(target));
            } catch (IllegalArgumentException e) {
                JsonFields.addProblem(problems, path + ".targets: " + e.getMessage());
            }
        }
        DesiredServerState desiredState =
                fields.enumLabel("mark", DesiredServerState.class, DesiredServerState.SERVING);
        fields.rejectUnknownFields();
        if (targets.isEmpty()) {
            JsonFields.addProblem(problems, path + ".targets: expected at least one model or service");
        }
        return id == null || domain == null
                ? null
                : new BackendServer(id, address, domain, kind, targets, desiredState);
    }

    private static List<String> findConflicts(List<Profile> profiles, List<Workspace> workspaces) {
        List<String> problems = new ArrayList<>();
        Set<Object> names = new HashSet<>();
        double totalSharePercent = 0;
        for (Profile profile : profiles) {
            totalSharePercent += profile.sharePercent();
            if (profile.name() != null && !names.add(profile.name())) {
                JsonFields.addProblem(problems, "profile '" + profile.name() + "' is listed twice");
            }
            if (profile.completionTarget().compareTo(profile.deadline()) > 0) {
                JsonFields.addProblem(
                        problems,
                        "profile '" + profile.name() + "': wholeTargetMillis "
                                + profile.completionTarget().toMillis() + " exceeds deadlineMillis "
                                + profile.deadline().toMillis());
            }
        }
        if (totalSharePercent > MAX_TOTAL_SHARE_PERCENT) {
            JsonFields.addProblem(
                    problems,
                    "sharePercent of all profiles adds up to " + totalSharePercent + ": expected at most 100");
        }
        Set<String> keyHashes = new HashSet<>();
        for (Workspace workspace : workspaces) {
            if (workspace.id() != null && !names.add(workspace.id())) {
                JsonFields.addProblem(problems, "workspace '" + workspace.id() + "' is listed twice");
            }
            for (String keyHash : workspace.keySha256()) {
                if (!keyHashes.add(keyHash)) {
                    JsonFields.addProblem(
                            problems, "workspace '" + workspace.id() + "': one of its keys is listed twice");
                }
            }
        }
        return problems;
    }

    private static JsonNode parseTree(String documentName, String text) throws InvalidConfigException {
        try {
            JsonNode root = JSON.readTree(text);
            if (!root.isObject()) {
                throw new InvalidConfigException(documentName, List.of("expected a JSON object"));
            }
            return root;
        } catch (JsonProcessingException e) {
            throw new InvalidConfigException(documentName, List.of("invalid JSON: " + e.getOriginalMessage()));
        }
    }

    private static void throwIfInvalid(String documentName, List<String> problems) throws InvalidConfigException {
        if (!problems.isEmpty()) {
            throw new InvalidConfigException(documentName, problems);
        }
    }
}
