package org.tanagerhinge.agent;

import dagger.Component;
import jakarta.inject.Singleton;

/** Dependency graph of the agent daemon. */
@Singleton
@Component(modules = AgentModule.class)
interface AgentComponent {
    AgentDaemon.Parts parts();
}
