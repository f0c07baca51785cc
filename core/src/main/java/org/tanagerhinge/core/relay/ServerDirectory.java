package org.tanagerhinge.core.relay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.tanagerhinge.core.store.StorePosition;

/**
 * Tracks the backend servers that this node knows.
 *
 * <p>Membership follows the registrations in the platform's store: a server that is missing from a list is removed,
 * except right after an outage of the store or its restore from an older copy. Registrations lapse during an outage,
 * and are missing in a copy, although the servers run; they come back within about two seconds. Without the exception
 * an outage would leave no server to send to; without its limit a crashed server would get requests forever.
 *
 * <p>A copy also contains registrations of servers that have left since. Such a server isn't added again until its
 * registration would have lapsed if it didn't run.
 */
public final class ServerDirectory {
    /**
     * Time without a list, in milliseconds, after which the store counts as unavailable: several polls failed in a
     * row.
     */
    private static final long STORE_OUTAGE_MILLIS = 2_000;
    /**
     * Time after an outage of the store, in milliseconds, for which missing servers are kept: the time in which the
     * platform has registrations come back, and a margin.
     */
    private static final long REGISTRATION_RECOVERY_MILLIS = 2_200;

    /** Time after a restore, in milliseconds, within which the registration of a server that doesn't run lapses. */
    private static final long STALE_REGISTRATION_MILLIS = 5_000;
    /** Time for which the departure of a server is remembered, in milliseconds: the greatest age of a copy. */
    private static final long MAX_COPY_AGE_MILLIS = 60_000;

    private final Map<String, ServerInstance> instanceByServerId = new LinkedHashMap<>();
    private final Map<String, List<ServerInstance>> instancesByService = new HashMap<>();
    private long newestListMillis = Long.MIN_VALUE;
    private StorePosition newestPosition = StorePosition.NONE;
    private long positionRequestedAtMillis = Long.MIN_VALUE;
    private long keepMissingUntilMillis = Long.MIN_VALUE;
    private long ignoreDepartedUntilMillis = Long.MIN_VALUE;
    /** When instances departed, by instance id. */
    private final Map<String, Long> departedAtMillis = new HashMap<>();

    private final SoftwareVersions softwareVersions = SoftwareVersions.create();

    private ServerDirectory() {}

    /** Creates an empty directory. */
    public static ServerDirectory create() {
        return new ServerDirectory();
    }

    /** Applies a complete list of registrations that was read at an unknown point of the store's history. */
    public List<ServerChange> apply(Collection<ServerRegistration> registrations, long requestedAtMillis) {
        return apply(registrations, requestedAtMillis, StorePosition.NONE);
    }

    /**
     * Applies a complete list of registrations.
     *
     * <p>A list that was read before the newest one may be outdated: it adds servers and marks them as draining, but
     * doesn't remove servers and doesn't restore earlier instances.
     *
     * @param requestedAtMillis time at which the list was requested
     * @param position point in the store's history at which the list was read, {@link StorePosition#NONE} if unknown
     * @return the changes, for the log
     */
    public List<ServerChange> apply(
            Collection<ServerRegistration> registrations, long requestedAtMillis, StorePosition position) {
        List<ServerChange> changes = new ArrayList<>();
        boolean newest = isNewest(requestedAtMillis, position);
        if (newest) {
            newestPosition = position;
            positionRequestedAtMillis = requestedAtMillis;
        }
        if (newestListMillis != Long.MIN_VALUE && requestedAtMillis - newestListMillis > STORE_OUTAGE_MILLIS) {
            keepMissingUntilMillis = requestedAtMillis + REGISTRATION_RECOVERY_MILLIS;
        }
        newestListMillis = Math.max(newestListMillis, requestedAtMillis);
        softwareVersions.trackedAt(requestedAtMillis);
        Map<String, ServerRegistration> listed = new HashMap<>();
        for (ServerRegistration registration : registrations) {
            listed.put(registration.id(), registration);
            if (requestedAtMillis < ignoreDepartedUntilMillis
                    && departedAtMillis.containsKey(registration.instanceId())) {
                continue;
            }
            ServerInstance current = instanceByServerId.get(registration.id());
            boolean sameInstance = current == null || current.registration().sameInstance(registration);
            if (!sameInstance && !newest) {
                continue;
            }
            if (!sameInstance) {
                depart(current, requestedAtMillis);
                changes.add(ServerChange.of(current, ServerChange.Kind.REMOVED));
                current = null;
            }
            if (current == null) {
                ServerInstance added = ServerInstance.of(registration);
                instanceByServerId.put(registration.id(), added);
                departedAtMillis.remove(added.instanceId());
                changes.add(ServerChange.of(added, ServerChange.Kind.ADDED));
                continue;
            }
            if (registration.draining() && current.available()) {
                changes.add(ServerChange.of(current, ServerChange.Kind.DRAINING));
            }
            current.update(registration);
        }
        if (newest && requestedAtMillis >= keepMissingUntilMillis) {
            instanceByServerId.values().removeIf(server -> {
                if (listed.containsKey(server.id())) {
                    return false;
                }
                depart(server, requestedAtMillis);
                changes.add(ServerChange.of(server, ServerChange.Kind.REMOVED));
                return true;
            });
        }
        if (!changes.isEmpty()) {
            indexByService();
        }
        return changes;
    }

    /**
     * Returns whether a list is at least as new as the one in use. Positions decide where both are known, since clocks
     * do not count the time for which a host was suspended; but what the store tells later is never older.
     */
    private boolean isNewest(long requestedAtMillis, StorePosition position) {
        if (position.equals(StorePosition.NONE) || newestPosition.equals(StorePosition.NONE)) {
            return requestedAtMillis >= newestListMillis;
        }
        return !position.isBefore(newestPosition) || requestedAtMillis > positionRequestedAtMillis;
    }

    /** Returns the point in the store's history at which the list was read; unknown if the store does not tell. */
    public StorePosition position() {
        return newestPosition;
    }

    private void depart(ServerInstance server, long nowMillis) {
        server.markRemoved();
        departedAtMillis.values().removeIf(atMillis -> nowMillis - atMillis > MAX_COPY_AGE_MILLIS);
        departedAtMillis.put(server.instanceId(), nowMillis);
        softwareVersions.recordDeparture(server.service(), server.softwareVersion(), nowMillis);
    }

    /** Records that the platform's store was restored from an older copy, at a time in milliseconds. */
    public void storeRestored(long nowMillis) {
        keepMissingUntilMillis = Math.max(keepMissingUntilMillis, nowMillis + REGISTRATION_RECOVERY_MILLIS);
        ignoreDepartedUntilMillis = nowMillis + STALE_REGISTRATION_MILLIS;
    }

    /** Removes a server at whose address another instance answered, at a time in milliseconds. */
    public void removeReplaced(ServerInstance server, long nowMillis) {
        depart(server, nowMillis);
        instanceByServerId.remove(server.id(), server);
        indexByService();
    }

    /** Records that a peer has an equal list that was requested at a time. */
    public void confirmList(long requestedAtMillis) {
        newestListMillis = Math.max(newestListMillis, requestedAtMillis);
        softwareVersions.trackedAt(requestedAtMillis);
    }

    /** Returns a digest that is equal for equal lists, whatever their order. */
    public long digest() {
        long digest = 0;
        for (ServerInstance server : instanceByServerId.values()) {
            long identity = server.instanceId().hashCode() * 31L + (server.available() ? 1 : 0);
            digest += mixBits(identity + ((long) server.softwareVersion().hashCode() << Integer.SIZE));
        }
        return digest;
    }

    private static long mixBits(long value) {
        long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
        return mixed ^ (mixed >>> 33);
    }

    /** Returns the servers of a service that accept new work, ordered by id. */
    public List<ServerInstance> available(String service) {
        return instancesByService.getOrDefault(service, List.of()).stream()
                .filter(ServerInstance::available)
                .toList();
    }

    /** Returns the services that have servers. */
    public Set<String> services() {
        return Set.copyOf(instancesByService.keySet());
    }

    /** Returns the software versions of a service that serve or have left recently. */
    public Set<String> softwareVersions(String service, long nowMillis) {
        Set<String> versions = softwareVersions.departed(service, nowMillis);
        for (ServerInstance server : instancesByService.getOrDefault(service, List.of())) {
            versions.add(server.softwareVersion());
        }
        return versions;
    }

    /**
     * Returns whether servers may be missing in a list that was requested at a time in milliseconds, since the store was
     * unavailable or restored shortly before.
     */
    public boolean mayMissServers(long requestedAtMillis) {
        return requestedAtMillis < keepMissingUntilMillis;
    }

    /** Returns the history of software versions that have left. */
    public SoftwareVersions versionHistory() {
        return softwareVersions;
    }

    public Collection<ServerInstance> all() {
        return instanceByServerId.values();
    }

    /**
     * Returns the server with an instance id ({@link ServerRegistration#instanceId()}), or null if it isn't the
     * current one.
     */
    public ServerInstance instance(String instanceId) {
        int separator = instanceId.lastIndexOf('@');
        ServerInstance server = instanceByServerId.get(separator < 0 ? instanceId : instanceId.substring(0, separator));
        return server != null && server.instanceId().equals(instanceId) ? server : null;
    }

    /** Returns whether any list has been received. */
    public boolean hasList() {
        return newestListMillis != Long.MIN_VALUE;
    }

    /** Returns when the newest list was requested, in milliseconds. */
    public long newestListMillis() {
        return newestListMillis;
    }

    private void indexByService() {
        instancesByService.clear();
        for (ServerInstance server : instanceByServerId.values()) {
            instancesByService
                    .computeIfAbsent(server.service(), service -> new ArrayList<>())
                    .add(server);
        }
        instancesByService.values().forEach(list -> list.sort((a, b) -> a.id().compareTo(b.id())));
    }
}
