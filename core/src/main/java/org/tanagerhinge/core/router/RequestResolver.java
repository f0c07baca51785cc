package org.tanagerhinge.core.router;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tanagerhinge.core.config.ClusterConfig;
import org.tanagerhinge.core.config.Profile;
import org.tanagerhinge.core.config.ServerKind;
import org.tanagerhinge.core.config.Workspace;
import org.tanagerhinge.core.id.ProfileName;
import org.tanagerhinge.core.id.TargetName;
import org.tanagerhinge.core.result.RequestFailure;
import org.tanagerhinge.core.result.ResultCode;
import org.tanagerhinge.core.text.NameSuggestion;

/** Resolves the names in a request: the workspace by its bearer key, the profile, and the model or service. */
final class RequestResolver {
    private static final int MAX_KEY_CHARS = 256;
    private static final Duration NOT_READY_RETRY_AFTER = Duration.ofSeconds(1);

    /** Holds the result of resolving a request. */
    sealed interface Resolution {
        /** All names in the request exist. */
        record Resolved(Workspace workspace, Profile profile, TargetName target) implements Resolution {}

        /** A name in the request is unknown or malformed, or this router has no configuration. */
        record Rejected(RequestFailure failure) implements Resolution {}
    }

    private ClusterConfig config = ClusterConfig.EMPTY;
    private Map<String, Workspace> workspacesByKey = Map.of();

    void applyConfig(ClusterConfig next) {
        config = next;
        workspacesByKey = next.profiles().workspacesByKeySha256();
    }

    Resolution resolve(IncomingRequest request) {
        if (!config.isComplete()) {
            return rejected(RequestFailure.notRun(
                    ResultCode.NOT_READY, NOT_READY_RETRY_AFTER, "this router has not received a configuration yet"));
        }
        Workspace workspace = workspacesByKey.get(request.keyHash());
        if (workspace == null) {
            return rejected(ResultCode.UNKNOWN_KEY, "the bearer key is missing or belongs to no workspace");
        }
        if (!targetExists(request)) {
            return rejected(
                    request.kind() == ServerKind.MODEL ? ResultCode.UNKNOWN_MODEL : ResultCode.UNKNOWN_SERVICE,
                    unknownTargetDetail(request));
        }
        Optional<Profile> profile = config.profiles().profiles().stream()
                .filter(each -> each.name().value().equals(request.profile()))
                .findFirst();
        if (profile.isEmpty()) {
            return rejected(ResultCode.UNKNOWN_PROFILE, unknownProfileDetail(request.profile()));
        }
        Optional<String> malformedKey = request.idempotencyKey().filter(RequestResolver::isMalformedKey);
        if (malformedKey.isPresent()) {
            return rejected(
                    ResultCode.BAD_IDEMPOTENCY_KEY,
                    "Idempotency-Key: expected 1 to " + MAX_KEY_CHARS + " printable ASCII characters");
        }
        return new Resolution.Resolved(workspace, profile.get(), TargetName.of(request.target()));
    }

    private static boolean isMalformedKey(String key) {
        return key.isEmpty() || key.length() > MAX_KEY_CHARS || key.chars().anyMatch(c -> c < ' ' || c > '~');
    }

    private boolean targetExists(IncomingRequest request) {
        return knownTargets(request.kind()).contains(request.target());
    }

    private List<String> knownTargets(ServerKind kind) {
        return config.servers().servers().stream()
                .filter(server -> server.kind() == kind)
                .flatMap(server -> server.targets().stream())
                .map(TargetName::value)
                .distinct()
                .sorted()
                .toList();
    }

    private String unknownProfileDetail(String profileName) {
        List<String> known = config.profiles().profiles().stream()
                .map(Profile::name)
                .map(ProfileName::value)
                .toList();
        if (profileName.isEmpty()) {
            return "no profile given: expected X-Tanagerhinge-Profile to be one of " + known;
        }
        return "profile '" + profileName + "' does not exist" + NameSuggestion.didYouMean(profileName, known);
    }

    private String unknownTargetDetail(IncomingRequest request) {
        String kind = request.kind().label();
        return kind + " '" + request.target() + "' does not exist"
                + NameSuggestion.didYouMean(request.target(), knownTargets(request.kind()));
    }

    private static Resolution rejected(ResultCode code, String detail) {
        return rejected(RequestFailure.notRun(code, detail));
    }

    private static Resolution rejected(RequestFailure failure) {
        return new Resolution.Rejected(failure);
    }
}
