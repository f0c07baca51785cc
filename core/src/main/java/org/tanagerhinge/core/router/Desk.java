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
import org.tanagerhinge.core.result.Refusal;
import org.tanagerhinge.core.result.ResultCode;
import org.tanagerhinge.core.text.NearestName;

/** Resolves what a caller named: its workspace by the key, its profile, and the model or service. */
final class Desk {
    private static final int LONGEST_KEY = 256;
    private static final Duration NOT_READY_RETRY = Duration.ofSeconds(1);

    /** What a caller's request resolved to. */
    sealed interface Resolution {
        /** Everything the caller named exists. */
        record Known(Workspace workspace, Profile profile, TargetName target) implements Resolution {}

        /** Something does not. */
        record Wrong(Refusal refusal) implements Resolution {}
    }

    private ClusterConfig config = ClusterConfig.EMPTY;
    private Map<String, Workspace> workspacesByKey = Map.of();

    void config(ClusterConfig next) {
        config = next;
        workspacesByKey = next.profiles().workspacesByKey();
    }

    Resolution resolve(Arrival arrival) {
        if (!config.complete()) {
            return wrong(Refusal.notRun(ResultCode.NOT_READY, NOT_READY_RETRY, "no configuration has been read yet"));
        }
        Workspace workspace = workspacesByKey.get(arrival.keyHash());
        if (workspace == null) {
            return wrong(ResultCode.UNKNOWN_KEY, "the bearer key is missing or belongs to no workspace");
        }
        if (!served(arrival)) {
            return wrong(
                    arrival.kind() == ServerKind.MODEL ? ResultCode.UNKNOWN_MODEL : ResultCode.UNKNOWN_SERVICE,
                    unknownTarget(arrival));
        }
        Optional<Profile> profile = config.profiles().profiles().stream()
                .filter(each -> each.name().value().equals(arrival.profile()))
                .findFirst();
        if (profile.isEmpty()) {
            return wrong(ResultCode.UNKNOWN_PROFILE, unknownProfile(arrival.profile()));
        }
        Optional<String> badKey = arrival.idempotencyKey().filter(Desk::unusable);
        if (badKey.isPresent()) {
            return wrong(
                    ResultCode.BAD_IDEMPOTENCY_KEY,
                    "Idempotency-Key: expected 1 to " + LONGEST_KEY + " printable characters");
        }
        return new Resolution.Known(workspace, profile.get(), TargetName.of(arrival.target()));
    }

    private static boolean unusable(String key) {
        return key.isEmpty() || key.length() > LONGEST_KEY || key.chars().anyMatch(c -> c < ' ' || c > '~');
    }

    private boolean served(Arrival arrival) {
        return targets(arrival.kind()).contains(arrival.target());
    }

    private List<String> targets(ServerKind kind) {
        return config.servers().servers().stream()
                .filter(server -> server.kind() == kind)
                .flatMap(server -> server.targets().stream())
                .map(TargetName::value)
                .distinct()
                .sorted()
                .toList();
    }

    private String unknownProfile(String named) {
        List<String> known = config.profiles().profiles().stream()
                .map(Profile::name)
                .map(ProfileName::value)
                .toList();
        if (named.isEmpty()) {
            return "no profile named: expected X-Tanagerhinge-Profile to be one of " + known;
        }
        return "profile '" + named + "' does not exist" + NearestName.hint(named, known);
    }

    private String unknownTarget(Arrival arrival) {
        String kind = arrival.kind().word();
        return kind + " '" + arrival.target() + "' does not exist"
                + NearestName.hint(arrival.target(), targets(arrival.kind()));
    }

    private static Resolution wrong(ResultCode code, String detail) {
        return wrong(Refusal.notRun(code, detail));
    }

    private static Resolution wrong(Refusal refusal) {
        return new Resolution.Wrong(refusal);
    }
}
