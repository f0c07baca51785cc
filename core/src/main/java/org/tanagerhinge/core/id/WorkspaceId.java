package org.tanagerhinge.core.id;

/** Identifies a workspace: a customer, determined from the bearer key of a request. */
public record WorkspaceId(String value) implements Comparable<WorkspaceId> {
    public WorkspaceId {
        IdSyntax.requireValid("workspace", value);
    }

    /** Returns the id with the given text, for example {@code WorkspaceId.of("salon-umea")}. */
    public static WorkspaceId of(String value) {
        return new WorkspaceId(value);
    }

    @Override
    public int compareTo(WorkspaceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
