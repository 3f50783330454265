package kestreldeal.scale.fleet;

import java.util.ArrayList;
import java.util.List;
import kestreldeal.Relay;

/** A request with one or more attempts from one process of a sender to an endpoint. */
final class Call {
    final SimulatedSender sender;
    final int processNumber;
    final SimulatedEndpoint endpoint;
    /** The state that the sender assumed for the endpoint when it decided on the call. */
    final Relay.EndpointState assumedState;
    final List<Item> items = new ArrayList<>();
    /** When the request was written; infinite while it waits for a connection. */
    double writtenAtMs = Double.POSITIVE_INFINITY;

    Call(SimulatedSender sender, int processNumber, SimulatedEndpoint endpoint, Relay.EndpointState assumedState) {
        this.sender = sender;
        this.processNumber = processNumber;
        this.endpoint = endpoint;
        this.assumedState = assumedState;
    }

    /** Whether an attempt of the call is still in flight. */
    boolean hasAttemptInFlight() {
        return items.stream().anyMatch(item -> item.attempt.outcome.isEmpty());
    }

    /** One attempt in the call, with its number within its message. */
    record Item(SimulatedMessage message, int attemptNumber, SimulatedMessage.Attempt attempt) {
    }
}
