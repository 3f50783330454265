package kestreldeal.scale.fleet;

import java.util.Arrays;
import java.util.Random;
import kestreldeal.Relay;
import kestreldeal.scale.fleet.SimulatedMessage.ClientRequest;

/**
 * Clients behind a load balancer. Messages arrive as a Poisson process, spread unevenly over destinations and senders;
 * some arrive in bursts for one destination. Some clients retry once after a rejection, no earlier than the rejection
 * asks. Clients of a sender that is down go to another one; the load balancer notices late that a sender is down.
 */
final class SimulatedClients {
    /** How often the load balancer draws another sender, if the drawn one is known to be down. */
    private static final int FRONT_DRAWS = 8;

    private final FleetSimulation fleet;
    private final SimulationClock world;
    private final FleetModel model;
    private final Random random;
    private final double end;
    private final WeightedSampler partnerParts;
    private final WeightedSampler senderParts;
    private final double unsafeAmongLarge;
    private final double meanClump;
    private long lastId;

    /** Creates clients that submit messages until the end time, with the given distribution over destinations. */
    SimulatedClients(FleetSimulation fleet, WeightedSampler partnerParts, double end, Random random) {
        this.fleet = fleet;
        this.world = fleet.world();
        this.model = fleet.settings().model();
        this.random = random;
        this.end = end;
        this.partnerParts = partnerParts;
        double[] parts = new double[fleet.settings().senders()];
        Arrays.setAll(parts, i -> Math.exp(model.senderSpread() * random.nextGaussian()));
        this.senderParts = new WeightedSampler(parts);
        double middle = (model.clumpS().least() + model.clumpS().most()) / 2;
        double large = 0;
        double clump = 0;
        for (SimulatedDestination partner : fleet.partners()) {
            double part = partnerParts.of(partner.id);
            large += partner.kind == 0 ? part : 0;
            clump += part * clumpSize(partner, middle);
        }
        this.unsafeAmongLarge = Math.min(1, model.unsafeShare() / large);
        this.meanClump = clump;
    }

    /** Starts the arrivals of single messages and of bursts. */
    void start() {
        double perMs = fleet.settings().messagesPerSecond() / 1000;
        next(perMs * (1 - model.clumpShare()), this::single);
        next(perMs * model.clumpShare() / meanClump, this::clump);
    }

    private void next(double perMs, Runnable arrival) {
        double at = world.now() - Math.log(1 - random.nextDouble()) / perMs;
        if (at < end) {
            world.at(at, () -> {
                arrival.run();
                next(perMs, arrival);
            });
        }
    }

    private void single() {
        SimulatedDestination partner = fleet.partners().get(partnerParts.draw(random));
        handIn(asked(partner), senderParts.draw(random));
    }

    /** Submits a burst at one time; half of the bursts go to a single sender. */
    private void clump() {
        SimulatedDestination partner = fleet.partners().get(partnerParts.draw(random));
        int size = clumpSize(partner, model.clumpS().draw(random));
        boolean together = random.nextBoolean();
        int sender = senderParts.draw(random);
        for (int i = 0; i < size; i++) {
            handIn(asked(partner), together ? sender : senderParts.draw(random));
        }
    }

    private static int clumpSize(SimulatedDestination partner, double seconds) {
        return (int) Math.max(1, Math.round(partner.limitPerSecond * seconds));
    }

    private ClientRequest asked(SimulatedDestination partner) {
        fleet.counts().asked++;
        int messageClass = partner.kind == 0 && random.nextDouble() < unsafeAmongLarge ? FleetModel.UNSAFE : FleetModel.KEYED;
        double deadline = fleet.relaySettings().classes().get(messageClass).deadlineMs();
        int tries = random.nextDouble() < model.comesAgain() ? 1 : 0;
        return new ClientRequest(messageClass, partner, world.now(), world.now() + deadline, tries);
    }

    /** Submits to the given sender, or to another one if the load balancer knows that this one is down. */
    private void handIn(ClientRequest asked, int first) {
        SimulatedSender sender = fleet.senders().get(first);
        for (int i = 0; i < FRONT_DRAWS && isKnownDead(sender); i++) {
            sender = fleet.senders().get(senderParts.draw(random));
        }
        if (!sender.takes()) {
            later(asked, model.againMs().draw(random), () -> fleet.counts().unanswered++);
            return;
        }
        if (sender.holds() >= fleet.mostOpen()) {
            turnedAway(asked);
            return;
        }
        fleet.counts().handedIn++;
        sender.take(new SimulatedMessage(++lastId, asked, sender, asked.deadline));
    }

    private boolean isKnownDead(SimulatedSender sender) {
        return !sender.takes() && world.now() > sender.stoppedAt() + model.frontNoticeMs().draw(random);
    }

    private void turnedAway(ClientRequest asked) {
        if (asked.triesLeft-- > 0) {
            later(asked, model.backoffMs().draw(random), () -> fleet.counts().turnedAway++);
        } else {
            fleet.counts().turnedAway++;
        }
    }

    /** Retries after a delay, or records the failure if the deadline would have passed by then. */
    private void later(ClientRequest asked, double ms, Runnable nothing) {
        if (world.now() + ms >= asked.deadline) {
            nothing.run();
        } else {
            world.in(ms, () -> handIn(asked, senderParts.draw(random)));
        }
    }

    /** A sender has rejected a message. */
    void refused(SimulatedMessage message, double waitMs) {
        ClientRequest asked = message.asked;
        if (asked.triesLeft-- > 0) {
            later(asked, Math.max(waitMs, model.backoffMs().draw(random)), () -> fleet.counts().refusedToClients++);
        } else {
            fleet.counts().refusedToClients++;
        }
    }

    /** A sender has reported a message as failed; clients do not retry it. */
    void failed(SimulatedMessage message) {
        fleet.counts().failed++;
    }

    void delivered(SimulatedMessage message) {
        double took = world.now() - message.asked.at;
        Relay.MessageClass type = fleet.relaySettings().classes().get(message.asked.messageClass);
        fleet.counts().delivered(took, took <= type.targetLatencyMs());
    }
}
