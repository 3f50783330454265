package kestreldeal.scale.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import kestreldeal.Relay;

/** A message that a sender has accepted, with what a journal would store of it; it outlasts the sender's process. */
final class SimulatedMessage {
    final long id;
    final ClientRequest request;
    final SimulatedSender sender;
    final double deadlineMs;
    final List<Attempt> attempts = new ArrayList<>();
    boolean finished;

    SimulatedMessage(long id, ClientRequest request, SimulatedSender sender, double deadlineMs) {
        this.id = id;
        this.request = request;
        this.sender = sender;
        this.deadlineMs = deadlineMs;
    }

    int inFlightCount() {
        return (int) attempts.stream().filter(attempt -> attempt.outcome.isEmpty()).count();
    }

    /** What a client wants delivered; a retry submits the same request again, as another message. */
    static final class ClientRequest {
        final int messageClass;
        final SimulatedDestination destination;
        final double submittedAtMs;
        final double deadlineMs;
        int retriesLeft;

        ClientRequest(int messageClass, SimulatedDestination destination, double submittedAtMs, double deadlineMs,
                int retriesLeft) {
            this.messageClass = messageClass;
            this.destination = destination;
            this.submittedAtMs = submittedAtMs;
            this.deadlineMs = deadlineMs;
            this.retriesLeft = retriesLeft;
        }
    }

    /** One attempt, which is in flight until it has an outcome. */
    static final class Attempt {
        final SimulatedEndpoint endpoint;
        final double sentAtMs;
        Optional<Relay.Outcome> outcome = Optional.empty();

        Attempt(SimulatedEndpoint endpoint, double sentAtMs) {
            this.endpoint = endpoint;
            this.sentAtMs = sentAtMs;
        }

        boolean mayHaveRun() {
            return outcome.map(Relay.Outcome::mayHaveRun).orElse(true);
        }
    }
}
