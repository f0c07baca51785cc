package org.tanagerhinge.node.platform;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.tanagerhinge.core.config.ClusterConfig;
import org.tanagerhinge.core.config.ConfigJson;
import org.tanagerhinge.core.config.InvalidConfigException;
import org.tanagerhinge.core.config.ProfilesDocument;
import org.tanagerhinge.core.config.ServersDocument;
import org.tanagerhinge.node.platform.PlatformStore.Versioned;

/** Reads both configuration documents from the platform's store in one call, and edits one by compare-and-swap. */
public final class ConfigStore {
    private static final String PREFIX = "tanagerhinge/config/";
    private static final String PROFILES = PREFIX + "profiles";
    private static final String SERVERS = PREFIX + "servers";

    private static final int MAX_LOOKUPS = 10;
    private static final Duration LOOKUP_INTERVAL = Duration.ofMillis(300);

    private final PlatformStore store;

    private ConfigStore(PlatformStore store) {
        this.store = store;
    }

    /** Returns the configuration documents of a key-value store. */
    public static ConfigStore in(PlatformStore store) {
        return new ConfigStore(store);
    }

    /** Result of an edit. */
    public sealed interface Edit {
        /** The edit was accepted as a revision. */
        record Accepted(long revision) implements Edit {}

        /** The document was changed by someone else since it was read; nothing was written. */
        record Conflict() implements Edit {}
    }

    /** Reads both documents; a missing document counts as empty. */
    public ClusterConfig read() throws PlatformException, InvalidConfigException {
        Map<String, Versioned> values = store.readEach(List.of(PROFILES, SERVERS));
        Versioned servers = values.get(SERVERS);
        return new ClusterConfig(
                profiles(values), servers == null ? ServersDocument.EMPTY : ConfigJson.parseServers(servers.value()));
    }

    /**
     * Reads both documents; a server whose entry is invalid is left out.
     *
     * @param onProblem receives the problems of servers
     */
    public ClusterConfig read(Consumer<String> onProblem) throws PlatformException, InvalidConfigException {
        Map<String, Versioned> values = store.readEach(List.of(PROFILES, SERVERS));
        Versioned servers = values.get(SERVERS);
        return new ClusterConfig(
                profiles(values),
                servers == null ? ServersDocument.EMPTY : ConfigJson.readServers(servers.value(), onProblem));
    }

    private static ProfilesDocument profiles(Map<String, Versioned> values) throws InvalidConfigException {
        Versioned profiles = values.get(PROFILES);
        return profiles == null ? ProfilesDocument.EMPTY : ConfigJson.parseProfiles(profiles.value());
    }

    /**
     * Edits the profiles document.
     *
     * @param baseRevision the revision that the edit was made from, which must still be the newest
     */
    public Edit editProfiles(long baseRevision, UnaryOperator<ProfilesDocument> change)
            throws PlatformException, InvalidConfigException {
        Optional<Versioned> current = store.read(PROFILES);
        ProfilesDocument before = current.isEmpty()
                ? ProfilesDocument.EMPTY
                : ConfigJson.parseProfiles(current.get().value());
        if (before.revision() != baseRevision) {
            return new Edit.Conflict();
        }
        String changeId = UUID.randomUUID().toString();
        ProfilesDocument after = change.apply(before).nextRevision(baseRevision + 1, changeId);
        String text = ConfigJson.render(after);
        ConfigJson.parseProfiles(text);
        return swap(PROFILES, text, current, baseRevision + 1, changeId);
    }

    /**
     * Edits the servers document.
     *
     * @param baseRevision the revision that the edit was made from, which must still be the newest
     */
    public Edit editServers(long baseRevision, UnaryOperator<ServersDocument> change)
            throws PlatformException, InvalidConfigException {
        Optional<Versioned> current = store.read(SERVERS);
        ServersDocument before = current.isEmpty()
                ? ServersDocument.EMPTY
                : ConfigJson.parseServers(current.get().value());
        if (before.revision() != baseRevision) {
            return new Edit.Conflict();
        }
        String changeId = UUID.randomUUID().toString();
        ServersDocument after = change.apply(before).nextRevision(baseRevision + 1, changeId);
        String text = ConfigJson.render(after);
        ConfigJson.parseServers(text);
        return swap(SERVERS, text, current, baseRevision + 1, changeId);
    }

    private Edit swap(String key, String text, Optional<Versioned> current, long revision, String changeId)
            throws PlatformException, InvalidConfigException {
        long version = current.map(Versioned::version).orElse(0L);
        try {
            return store.write(key, text, version) ? new Edit.Accepted(revision) : new Edit.Conflict();
        } catch (PlatformException failure) {
            // The response was lost, but the write may have taken effect. Retrying it or reporting a failure could
            // apply the change twice, so the change ids in the document are checked.
            return resolveLostWrite(key, revision, changeId, failure);
        }
    }

    private Edit resolveLostWrite(String key, long revision, String changeId, PlatformException writeFailure)
            throws PlatformException, InvalidConfigException {
        PlatformException lastFailure = writeFailure;
        for (int attempt = 0; attempt < MAX_LOOKUPS; attempt++) {
            try {
                Optional<Versioned> current = store.read(key);
                boolean accepted = current.isPresent()
                        && changeIdsOf(key, current.get().value()).contains(changeId);
                return accepted ? new Edit.Accepted(revision) : new Edit.Conflict();
            } catch (PlatformException e) {
                lastFailure = e;
                pause();
            }
        }
        throw new PlatformException(
                "edit " + changeId, "unknown whether the edit was accepted; read the document again", lastFailure);
    }

    private static void pause() throws PlatformException {
        try {
            Thread.sleep(LOOKUP_INTERVAL);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new PlatformException("edit", "interrupted", e);
        }
    }

    private static List<String> changeIdsOf(String key, String text) throws InvalidConfigException {
        return key.equals(PROFILES)
                ? ConfigJson.parseProfiles(text).changeIds()
                : ConfigJson.parseServers(text).changeIds();
    }
}
