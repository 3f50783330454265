package kestreldeal.scale.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import kestreldeal.Relay;

/** A message that a sender has accepted, with what a journal would store of it; it outlasts the sender's process. */
final class SimulatedMessage {
    final long id;
    final ClientRequest asked;
    final SimulatedSender sender;
    final double deadline;
    final List<Attempt> attempts = new ArrayList<>();
    boolean ended;

    SimulatedMessage(long id, ClientRequest asked, SimulatedSender sender, double deadline) {
        this.id = id;
        this.asked = asked;
        this.sender = sender;
        this.deadline = deadline;
    }

    int out() {
        return (int) attempts.stream().filter(a -> a.outcome.isEmpty()).count();
    }

    /** What a client wants delivered; a retry submits the same request again, as another message. */
    static final class ClientRequest {
        final int messageClass;
        final SimulatedDestination partner;
        final double at;
        final double deadline;
        int triesLeft;

        ClientRequest(int messageClass, SimulatedDestination partner, double at, double deadline, int triesLeft) {
            this.messageClass = messageClass;
            this.partner = partner;
            this.at = at;
            this.deadline = deadline;
            this.triesLeft = triesLeft;
        }
    }

    /** One attempt, which is in flight until it has an outcome. */
    static final class Attempt {
        final SimulatedEndpoint endpoint;
        final double sentAt;
        Optional<Relay.Outcome> outcome = Optional.empty();

        Attempt(SimulatedEndpoint endpoint, double sentAt) {
            this.endpoint = endpoint;
            this.sentAt = sentAt;
        }

        boolean mayHaveRun() {
            return outcome.map(Relay.Outcome::mayHaveRun).orElse(true);
        }
    }
}
