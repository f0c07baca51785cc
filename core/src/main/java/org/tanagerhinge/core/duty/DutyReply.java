package org.tanagerhinge.core.duty;

/** What became of a call to the store or to the platform's address for duties. */
public sealed interface DutyReply<T> {
    /** The call was answered. */
    record Answered<T>(T value) implements DutyReply<T> {}

    /** The call had no answer that tells: whether it was, or will be, carried out is not known. */
    record Unknown<T>(String why) implements DutyReply<T> {}
}
