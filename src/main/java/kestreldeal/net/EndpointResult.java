package kestreldeal.net;

import kestreldeal.Relay.Outcome;

/**
 * The result of one message in the response of an endpoint.
 *
 * @param outcome of the attempt
 * @param messageExpired whether the endpoint reported the message as expired, so that it needs no further attempt
 * @param retryAfterMs wait that the response asks for; 0 if there is none
 */
record EndpointResult(Outcome outcome, boolean messageExpired, double retryAfterMs) {
    /** Returns the result for a status code that applies to all messages of a call, as the protocol's table says. */
    static EndpointResult ofStatus(int statusCode, double retryAfterMs, boolean noSlot) {
        Outcome outcome = switch (statusCode) {
            case 200 -> Outcome.DELIVERED;
            case 429 -> Outcome.FULL;
            case 503 -> noSlot ? Outcome.NOT_SENT : Outcome.FULL;
            case 504, 410 -> Outcome.NOT_SENT;
            default -> Outcome.ERROR;
        };
        return new EndpointResult(outcome, statusCode == 410, statusCode == 429 ? retryAfterMs : 0);
    }

    /** Returns the result for a word in the response to a batch; a wait comes with any result. */
    static EndpointResult ofBatchWord(String word, double retryAfterMs) {
        return switch (word) {
            case "accepted" -> new EndpointResult(Outcome.DELIVERED, false, retryAfterMs);
            case "fault" -> new EndpointResult(Outcome.ERROR, false, retryAfterMs);
            case "deferred" -> new EndpointResult(Outcome.FULL, false, retryAfterMs);
            case "expired" -> new EndpointResult(Outcome.NOT_SENT, true, retryAfterMs);
            case "no_more" -> new EndpointResult(Outcome.NOT_SENT, false, retryAfterMs);
            default -> throw new IllegalArgumentException("unknown batch result: " + word);
        };
    }

    /** Whether the message is over: it must neither be sent again nor be reported as rejected or failed. */
    boolean endsMessage() {
        return outcome == Outcome.DELIVERED || messageExpired;
    }
}
