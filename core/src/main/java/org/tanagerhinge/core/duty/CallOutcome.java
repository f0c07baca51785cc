package org.tanagerhinge.core.duty;

/** What became of a call to the store or to the platform's address for duties. */
public sealed interface CallOutcome<T> {
    /** The call was answered. */
    record Completed<T>(T value) implements CallOutcome<T> {}

    /** The call had no answer that tells: whether it was, or will be, carried out is not known. */
    record Unknown<T>(String reason) implements CallOutcome<T> {}
}
