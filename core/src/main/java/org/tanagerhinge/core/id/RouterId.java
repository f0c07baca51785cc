package org.tanagerhinge.core.id;

/** Names one run of a router process: its configured name and the incarnation that tells restarts apart. */
public record RouterId(String name, long incarnation) {
    public RouterId {
        IdSyntax.requireValid("router", name);
    }

    /** Returns the id of one run of the named router. */
    public static RouterId of(String name, long incarnation) {
        return new RouterId(name, incarnation);
    }

    @Override
    public String toString() {
        return name + "#" + incarnation;
    }
}
