package kestreldeal.scale.fleet;

import java.util.ArrayList;
import java.util.List;
import kestreldeal.Relay;

/** A request with one or more attempts from one process of a sender to an endpoint. */
final class Call {
    final SimulatedSender sender;
    final int life;
    final SimulatedEndpoint endpoint;
    /** The state that the sender assumed for the endpoint when it decided on the call. */
    final Relay.EndpointState heldAs;
    final List<Item> items = new ArrayList<>();
    /** When the request was written; infinite while it waits for a connection. */
    double writtenAt = Double.POSITIVE_INFINITY;

    Call(SimulatedSender sender, int life, SimulatedEndpoint endpoint, Relay.EndpointState heldAs) {
        this.sender = sender;
        this.life = life;
        this.endpoint = endpoint;
        this.heldAs = heldAs;
    }

    /** Whether an attempt of the call is still in flight. */
    boolean isAwaited() {
        return items.stream().anyMatch(item -> item.attempt.outcome.isEmpty());
    }

    /** One attempt in the call, with its number within its message. */
    record Item(SimulatedMessage message, int number, SimulatedMessage.Attempt attempt) {
    }
}
