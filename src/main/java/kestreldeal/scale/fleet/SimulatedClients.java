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
    private static final int MAX_SENDER_DRAWS = 8;

    private final FleetSimulation fleet;
    private final SimulationClock clock;
    private final FleetModel model;
    private final Random random;
    private final double endMs;
    private final WeightedSampler destinationSampler;
    private final WeightedSampler senderSampler;
    private final double unsafeShareOfFirstKind;
    private final double meanBurstSize;
    private long lastMessageId;

    /** Creates clients that submit messages until the end time, with the given distribution over destinations. */
    SimulatedClients(FleetSimulation fleet, WeightedSampler destinationSampler, double endMs, Random random) {
        this.fleet = fleet;
        this.clock = fleet.clock();
        this.model = fleet.settings().model();
        this.random = random;
        this.endMs = endMs;
        this.destinationSampler = destinationSampler;
        double[] weights = new double[fleet.settings().senderCount()];
        Arrays.setAll(weights, i -> Math.exp(model.senderTrafficSpread() * random.nextGaussian()));
        this.senderSampler = new WeightedSampler(weights);
        double meanBurstSeconds = (model.burstSeconds().min() + model.burstSeconds().max()) / 2;
        double firstKindShare = 0;
        double weightedBurstSize = 0;
        for (SimulatedDestination destination : fleet.destinations()) {
            double share = destinationSampler.probability(destination.id);
            firstKindShare += destination.kindIndex == 0 ? share : 0;
            weightedBurstSize += share * burstSize(destination, meanBurstSeconds);
        }
        this.unsafeShareOfFirstKind = Math.min(1, model.unsafeShare() / firstKindShare);
        this.meanBurstSize = weightedBurstSize;
    }

    /** Starts the arrivals of single messages and of bursts. */
    void start() {
        double messagesPerMs = fleet.settings().totalMessagesPerSecond() / 1000;
        scheduleArrival(messagesPerMs * (1 - model.burstShare()), this::submitSingle);
        scheduleArrival(messagesPerMs * model.burstShare() / meanBurstSize, this::submitBurst);
    }

    private void scheduleArrival(double arrivalsPerMs, Runnable arrival) {
        double timeMs = clock.nowMs() - Math.log(1 - random.nextDouble()) / arrivalsPerMs;
        if (timeMs < endMs) {
            clock.schedule(timeMs, () -> {
                arrival.run();
                scheduleArrival(arrivalsPerMs, arrival);
            });
        }
    }

    private void submitSingle() {
        SimulatedDestination destination = fleet.destinations().get(destinationSampler.draw(random));
        submit(newRequest(destination), senderSampler.draw(random));
    }

    /** Submits a burst at one time; half of the bursts go to a single sender. */
    private void submitBurst() {
        SimulatedDestination destination = fleet.destinations().get(destinationSampler.draw(random));
        int size = burstSize(destination, model.burstSeconds().draw(random));
        boolean sameSender = random.nextBoolean();
        int senderNumber = senderSampler.draw(random);
        for (int i = 0; i < size; i++) {
            submit(newRequest(destination), sameSender ? senderNumber : senderSampler.draw(random));
        }
    }

    private static int burstSize(SimulatedDestination destination, double seconds) {
        return (int) Math.max(1, Math.round(destination.limitPerSecond * seconds));
    }

    private ClientRequest newRequest(SimulatedDestination destination) {
        fleet.counts().requests++;
        int messageClass = destination.kindIndex == 0 && random.nextDouble() < unsafeShareOfFirstKind
                ? FleetModel.UNSAFE_CLASS : FleetModel.KEYED_CLASS;
        double timeLimitMs = fleet.relaySettings().classes().get(messageClass).deadlineMs();
        int retries = random.nextDouble() < model.retryShare() ? 1 : 0;
        return new ClientRequest(messageClass, destination, clock.nowMs(), clock.nowMs() + timeLimitMs, retries);
    }

    /** Submits to the given sender, or to another one if the load balancer knows that this one is down. */
    private void submit(ClientRequest request, int firstSender) {
        SimulatedSender sender = fleet.senders().get(firstSender);
        for (int i = 0; i < MAX_SENDER_DRAWS && isKnownDown(sender); i++) {
            sender = fleet.senders().get(senderSampler.draw(random));
        }
        if (!sender.isAccepting()) {
            retryLater(request, model.otherSenderDelayMs().draw(random), () -> fleet.counts().noSenderReached++);
            return;
        }
        if (sender.pendingCount() >= fleet.maxPending()) {
            rejectAtCapacity(request);
            return;
        }
        fleet.counts().submissions++;
        sender.accept(new SimulatedMessage(++lastMessageId, request, sender, request.deadlineMs));
    }

    private boolean isKnownDown(SimulatedSender sender) {
        return !sender.isAccepting() && clock.nowMs() > sender.stoppedAtMs() + model.loadBalancerDelayMs().draw(random);
    }

    private void rejectAtCapacity(ClientRequest request) {
        if (request.retriesLeft-- > 0) {
            retryLater(request, model.retryDelayMs().draw(random), () -> fleet.counts().rejectedAtCapacity++);
        } else {
            fleet.counts().rejectedAtCapacity++;
        }
    }

    /** Retries after a delay, or records the failure if the deadline would have passed by then. */
    private void retryLater(ClientRequest request, double delayMs, Runnable onGivenUp) {
        if (clock.nowMs() + delayMs >= request.deadlineMs) {
            onGivenUp.run();
        } else {
            clock.scheduleAfter(delayMs, () -> submit(request, senderSampler.draw(random)));
        }
    }

    /** A sender has rejected a message. */
    void messageRejected(SimulatedMessage message, double retryAfterMs) {
        ClientRequest request = message.request;
        if (request.retriesLeft-- > 0) {
            retryLater(request, Math.max(retryAfterMs, model.retryDelayMs().draw(random)),
                    () -> fleet.counts().rejectedBySenders++);
        } else {
            fleet.counts().rejectedBySenders++;
        }
    }

    /** A sender has reported a message as failed; clients do not retry it. */
    void messageFailed(SimulatedMessage message) {
        fleet.counts().failed++;
    }

    void messageDelivered(SimulatedMessage message) {
        double latencyMs = clock.nowMs() - message.request.submittedAtMs;
        Relay.MessageClass messageClass = fleet.relaySettings().classes().get(message.request.messageClass);
        fleet.counts().recordDelivery(latencyMs, latencyMs <= messageClass.targetLatencyMs());
    }
}
