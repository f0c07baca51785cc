package org.tanagerhinge.bench.soak;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tanagerhinge.core.store.StoreEra;
import org.tanagerhinge.node.platform.PlatformException;
import org.tanagerhinge.node.platform.PlatformStore;

/** Connects one process to the simulated store; knows the era of the store's latest answer to this process. */
final class SimStoreClient implements PlatformStore {
    private final SimStore store;
    private long era = StoreEra.UNKNOWN;

    SimStoreClient(SimStore store) {
        this.store = store;
    }

    @Override
    public Optional<Versioned> read(String key) throws PlatformException {
        return answered(store.read(key));
    }

    @Override
    public Map<String, Versioned> readEach(List<String> keys) throws PlatformException {
        return answered(store.readEach(keys));
    }

    @Override
    public Map<String, Versioned> readAll(String prefix) throws PlatformException {
        return answered(store.readAll(prefix));
    }

    @Override
    public boolean write(String key, String value, long expectedVersion) throws PlatformException {
        return answered(store.write(key, value, expectedVersion));
    }

    @Override
    public Swap swap(String key, String value, long expectedVersion, long leaseId) throws PlatformException {
        return answered(store.swap(key, value, expectedVersion, leaseId));
    }

    @Override
    public long grantLease(Duration length) {
        return store.grantLease(length);
    }

    @Override
    public long era() {
        return era;
    }

    private <T> T answered(T answer) {
        era = store.era();
        return answer;
    }
}
