package org.tanagerhinge.standin;

/**
 * The figures of a stand-in engine.
 *
 * @param baseMillis time of a step with nothing in the batch
 * @param perSequenceMillis what each running sequence adds to a step
 * @param prefillTokensPerMilli prompt tokens read in a millisecond, which lengthens the step they are read in
 * @param maxSequences maximum number of sequences in the batch
 * @param kvTokens tokens that the KV memory holds
 * @param prefixTokens tokens that the prefix cache holds
 * @param medianLength median answer length in tokens
 * @param lengthSigma sigma of the log-normal answer length
 * @param maxLength maximum answer length in tokens
 */
public record EngineModel(
        double baseMillis,
        double perSequenceMillis,
        double prefillTokensPerMilli,
        int maxSequences,
        long kvTokens,
        long prefixTokens,
        int medianLength,
        double lengthSigma,
        int maxLength) {
    /** Returns figures of a small engine: 12 ms a step, 0.6 ms for each of up to 24 sequences. */
    public static EngineModel small() {
        return new EngineModel(12, 0.6, 20, 24, 60_000, 40_000, 40, 0.7, 400);
    }

    /** Returns these figures with other answer lengths. */
    public EngineModel withLengths(int median, double sigma, int most) {
        return new EngineModel(
                baseMillis,
                perSequenceMillis,
                prefillTokensPerMilli,
                maxSequences,
                kvTokens,
                prefixTokens,
                median,
                sigma,
                most);
    }
}
