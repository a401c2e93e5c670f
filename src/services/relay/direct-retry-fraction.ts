/** Fraction of the allowed retries of a service that is for requests sent to it directly; the rest is for the calls that repeated requests make again. */
export const directRetryFraction = 0.72;
