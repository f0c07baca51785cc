package org.tanagerhinge.core.id;

/** Identifies one run of a router process by its configured name and its incarnation. */
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
