package kestreldeal.scale.fleet;

import java.util.ArrayList;
import java.util.List;
import kestreldeal.Relay;

/** Messages that travel as one from one life of a sender to an endpoint. */
final class Call {
    final HollowSender sender;
    final int life;
    final HollowEndpoint endpoint;
    /** What its sender held the endpoint to be when it decided on it. */
    final Relay.EndpointState heldAs;
    final List<Item> items = new ArrayList<>();
    /** When its request was written; before that it waits for its connection. */
    double writtenAt = Double.POSITIVE_INFINITY;

    Call(HollowSender sender, int life, HollowEndpoint endpoint, Relay.EndpointState heldAs) {
        this.sender = sender;
        this.life = life;
        this.endpoint = endpoint;
        this.heldAs = heldAs;
    }

    /** Whether anybody waits for its answer. */
    boolean isAwaited() {
        return items.stream().anyMatch(item -> item.attempt.outcome.isEmpty());
    }

    /** One message of it. */
    record Item(SimMessage message, int number, SimMessage.Attempt attempt) {
    }
}
