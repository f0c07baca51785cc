package org.tanagerhinge.agent;

import dagger.Module;
import dagger.Provides;
import jakarta.inject.Singleton;
import org.eclipse.jetty.client.HttpClient;
import org.tanagerhinge.node.daemon.HttpClients;
import org.tanagerhinge.node.platform.EtcdStore;
import org.tanagerhinge.node.platform.PlatformStore;
import org.tanagerhinge.node.settings.Settings;

/** Provides the agent's dependencies from its settings. */
@Module
final class AgentModule {
    private final Settings settings;

    AgentModule(Settings settings) {
        this.settings = settings;
    }

    @Provides
    @Singleton
    HttpClient http() {
        return HttpClients.started("backend");
    }

    @Provides
    @Singleton
    PlatformStore platform(HttpClient http) {
        return EtcdStore.at(
                http, settings.value(AgentSettings.PLATFORM_URL), settings.value(AgentSettings.PLATFORM_TIMEOUT));
    }

    @Provides
    AgentDaemon.Parts parts(HttpClient http, PlatformStore platform) {
        return new AgentDaemon.Parts(
                settings.value(AgentSettings.NAME),
                settings.value(AgentSettings.LISTEN_ADDRESS),
                settings.value(AgentSettings.METRICS_ADDRESS),
                settings.value(AgentSettings.SECRET),
                AgentSettings.options(settings),
                settings.value(AgentSettings.BACKEND_URL),
                settings.value(AgentSettings.PROBE_PATH),
                http,
                platform,
                settings.value(AgentSettings.PLATFORM_POLL_INTERVAL),
                settings.value(AgentSettings.PEER_IDLE_TIMEOUT),
                new AgentDaemon.ConnectionBounds(
                        settings.value(AgentSettings.MAX_UNAUTHENTICATED),
                        settings.value(AgentSettings.MAX_STATUS_CONNECTIONS),
                        settings.value(AgentSettings.STATUS_MEMORY_KILOBYTES) << 10),
                settings.value(AgentSettings.STOP_TIMEOUT));
    }
}
