package kestreldeal.scale.fleet;

import java.util.ArrayList;
import java.util.List;

/** Messages that travel as one from one life of a sender to an endpoint. */
final class Call {
    final HollowSender sender;
    final int life;
    final HollowEndpoint endpoint;
    final List<Item> items = new ArrayList<>();
    /** When its request was written; before that it waits for its connection. */
    double writtenAt = Double.POSITIVE_INFINITY;

    Call(HollowSender sender, int life, HollowEndpoint endpoint) {
        this.sender = sender;
        this.life = life;
        this.endpoint = endpoint;
    }

    /** Whether anybody waits for its answer. */
    boolean isAwaited() {
        return items.stream().anyMatch(item -> item.attempt.outcome.isEmpty());
    }

    /** One message of it. */
    record Item(SimMessage message, int number, SimMessage.Attempt attempt) {
    }
}
