package org.tanagerhinge.router;

import dagger.Module;
import dagger.Provides;
import jakarta.inject.Singleton;
import org.eclipse.jetty.client.HttpClient;
import org.tanagerhinge.node.daemon.HttpClients;
import org.tanagerhinge.node.platform.EtcdStore;
import org.tanagerhinge.node.platform.PlatformStore;
import org.tanagerhinge.node.settings.Settings;

/** Provides the router's dependencies from its settings. */
@Module
final class RouterModule {
    private static final int BYTES_PER_KILOBYTE = 1024;

    private final Settings settings;

    RouterModule(Settings settings) {
        this.settings = settings;
    }

    @Provides
    @Singleton
    HttpClient http() {
        return HttpClients.started("platform");
    }

    @Provides
    @Singleton
    PlatformStore platform(HttpClient http) {
        return EtcdStore.at(
                http, settings.value(RouterSettings.PLATFORM_URL), settings.value(RouterSettings.PLATFORM_TIMEOUT));
    }

    @Provides
    RouterDaemon.Parts parts(PlatformStore platform) {
        return new RouterDaemon.Parts(
                settings.value(RouterSettings.NAME).value(),
                settings.value(RouterSettings.LISTEN_ADDRESS),
                settings.value(RouterSettings.SECRET),
                RouterSettings.options(settings),
                platform,
                RouterSettings.pollInterval(settings.value(RouterSettings.EXPECTED_ROUTERS)),
                settings.value(RouterSettings.PEER_IDLE_TIMEOUT),
                settings.value(RouterSettings.MAX_BODY_KILOBYTES) * BYTES_PER_KILOBYTE,
                new RouterDaemon.CallerBounds(
                        settings.value(RouterSettings.MAX_CONNECTIONS),
                        settings.value(RouterSettings.CALLER_MEMORY_PERCENT)),
                settings.value(RouterSettings.STOP_TIMEOUT));
    }
}
