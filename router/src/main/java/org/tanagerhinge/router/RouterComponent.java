package org.tanagerhinge.router;

import dagger.Component;
import jakarta.inject.Singleton;

/** Dependency graph of the router daemon. */
@Singleton
@Component(modules = RouterModule.class)
interface RouterComponent {
    RouterDaemon.Parts parts();
}
