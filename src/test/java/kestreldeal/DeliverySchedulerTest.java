package kestreldeal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import kestreldeal.Relay.Repeat;
import kestreldeal.Relay.Outcome;
import org.junit.jupiter.api.Test;

/**
 * Tests the behaviour of the scheduler through its interface. Message class 0 is safe, 1 keyed, 2 unsafe and ordered,
 * 3 keyed with deduplication within a zone, 4 safe with a target latency equal to its deadline.
 */
class DeliverySchedulerTest {
    private static final int SAFE = 0;
    private static final int KEYED = 1;
    private static final int UNSAFE = 2;
    private static final int KEYED_WITHIN_ZONE = 3;
    private static final int WITHOUT_LATE_PERIOD = 4;

    // ---- priority ----

    @Test
    void classWithoutLatePeriodStillHasAPriority() {
        SchedulerHarness harness = new SchedulerHarness(1).addEndpoints(1, 10);
        harness.submit(1, SAFE, 1);
        harness.submit(2, SAFE, 1);
        harness.submit(3, WITHOUT_LATE_PERIOD, 1);
        harness.runUntil(100);
        harness.complete(1, 0, Outcome.DELIVERED);
        harness.runUntil(200);
        assertEquals(List.of(1L, 3L), harness.sends.stream().map(s -> s.message()).toList(),
                "the message of higher value is sent first");
    }

    // ---- rounds of attempts ----

    @Test
    void wakeThatComesTooEarlyIsRequestedAgain() {
        SchedulerHarness harness = new SchedulerHarness();
        harness.submit(1, SAFE, 1);
        harness.runUntil(15_990);
        int requested = harness.requestedWakes.size();
        harness.now = harness.requestedWakes.get(requested - 1) - 0.0004;
        harness.relay.wake(harness.now);
        harness.relay.endTurn(harness.now);
        assertEquals(requested + 1, harness.requestedWakes.size());
    }

    @Test
    void hedgedAttemptIsSentAfterHalfTheTargetLatencyToAnotherEndpoint() {
        SchedulerHarness harness = new SchedulerHarness().addEndpoints(1, 10, 11);
        harness.submit(1, SAFE, 1);
        harness.runUntil(990);
        assertEquals(1, harness.sends.size());
        harness.runUntil(1010);
        assertEquals(2, harness.sends.size());
        assertFalse(harness.sends.get(0).endpoint() == harness.sends.get(1).endpoint());
    }

    @Test
    void hedgedAttemptGoesToTheSameEndpointIfThereIsNoOther() {
        SchedulerHarness harness = new SchedulerHarness().addEndpoints(1, 10);
        harness.submit(1, SAFE, 1);
        harness.runUntil(1010);
        assertEquals(2, harness.sends.size());
    }

    @Test
    void firstDeliveryCancelsTheOtherAttempts() {
        SchedulerHarness harness = new SchedulerHarness().addEndpoints(1, 10, 11);
        harness.submit(1, SAFE, 1);
        harness.runUntil(1010);
        harness.complete(1, 1, Outcome.DELIVERED);
        assertEquals(List.of("1/0"), harness.cancelledAttempts);
        harness.complete(1, 0, Outcome.CANCELLED);
        harness.runUntil(20_000);
        assertEquals(2, harness.sends.size());
        assertTrue(harness.finalResults.isEmpty());
    }

    @Test
    void noNewRoundWhileAnAttemptIsInFlight() {
        SchedulerHarness harness = new SchedulerHarness().addEndpoints(1, 10, 11);
        harness.submit(1, SAFE, 1);
        harness.runUntil(1010);
        harness.complete(1, 0, Outcome.ERROR);
        harness.runUntil(1900);
        assertEquals(2, harness.sends.size());
        harness.complete(1, 1, Outcome.ERROR);
        harness.runUntil(2600);
        assertEquals(3, harness.sends.size());
    }

    @Test
    void hedgeBudgetAllowsOneAttemptPlusATenthOfFirstSends() {
        SchedulerHarness harness = new SchedulerHarness();
        for (int i = 0; i < 5; i++) {
            harness.addEndpoints(i, 10 + 2 * i, 11 + 2 * i);
        }
        for (int i = 0; i < 5; i++) {
            harness.submit(i, SAFE, i);
        }
        harness.runUntil(1900);
        assertEquals(6, harness.sends.size(), "five first sends allow 1.5 hedged attempts, so one");
    }

    @Test
    void noHedgedAttemptWithoutAFreeSlot() {
        SchedulerHarness harness = new SchedulerHarness(2);
        harness.addEndpoints(1, 10, 11);
        harness.addEndpoints(2, 20);
        harness.submit(1, SAFE, 1);
        harness.submit(2, SAFE, 2);
        harness.runUntil(1900);
        assertEquals(2, harness.sends.size());
    }

    @Test
    void unsafeMessagesAreNotHedged() {
        SchedulerHarness harness = new SchedulerHarness().addEndpoints(1, 10, 11);
        harness.submit(1, UNSAFE, 1);
        harness.runUntil(5000);
        assertEquals(1, harness.sends.size());
    }

    @Test
    void fastErrorsDoNotUseUpAllAttempts() {
        SchedulerHarness harness = new SchedulerHarness().addEndpoints(1, 10);
        harness.onSend = s -> harness.completeLater(s, Outcome.ERROR, 10);
        harness.submit(1, SAFE, 1);
        harness.runUntil(1000);
        assertTrue(harness.sends.size() >= 2 && harness.sends.size() <= 5, "sends " + harness.sends.size());
    }

    // ---- delivery rules ----

    @Test
    void everyMessageGetsOneFinalResultByItsDeadline() {
        SchedulerHarness harness = new SchedulerHarness().addEndpoints(1, 10);
        harness.submit(1, SAFE, 9);
        harness.submit(2, UNSAFE, 1);
        harness.runUntil(15_990);
        assertTrue(harness.finalResults.isEmpty());
        harness.runUntil(16_020);
        assertEquals(List.of("reject 1"), harness.finalResults, "nothing ran; the other one is still in flight");
        harness.complete(2, 0, Outcome.TIMED_OUT);
        assertEquals(List.of("reject 1", "fail 2"), harness.finalResults);
        harness.runUntil(40_000);
        assertEquals(2, harness.finalResults.size());
        assertEquals(1, harness.sends.size());
    }

    @Test
    void unsafeMessageIsRepeatedOnlyIfItCertainlyDidNotRun() {
        SchedulerHarness harness = new SchedulerHarness().addEndpoints(1, 10, 11);
        harness.submit(1, UNSAFE, 1);
        harness.complete(1, 0, Outcome.UNREACHABLE);
        harness.runUntil(1000);
        assertEquals(2, harness.sends.size());
        harness.complete(1, 1, Outcome.ERROR);
        assertEquals(List.of("fail 1"), harness.finalResults);
        harness.runUntil(20_000);
        assertEquals(2, harness.sends.size());
    }

    @Test
    void keyedMessageIsNotRepeatedAfterItsDedupWindow() {
        SchedulerHarness harness = new SchedulerHarness().addEndpoints(1, 10);
        harness.submit(1, KEYED, 1);
        harness.runUntil(4000);
        int sent = harness.sends.size();
        for (int i = 0; i < sent; i++) {
            harness.complete(1, i, Outcome.TIMED_OUT);
        }
        harness.runUntil(16_100);
        assertEquals(sent, harness.sends.size());
        assertEquals(1, harness.finalResults.size());
    }

    @Test
    void keyedMessageStaysInTheZoneThatMayHaveRunIt() {
        SchedulerHarness harness = new SchedulerHarness();
        harness.putEndpoint(10, 1, 0, 0, true).putEndpoint(11, 1, 0, 1, true);
        harness.submit(1, KEYED_WITHIN_ZONE, 1);
        long first = harness.sends.get(0).endpoint();
        harness.runUntil(1010);
        harness.complete(1, 0, Outcome.TIMED_OUT);
        harness.runUntil(3000);
        assertTrue(harness.sends.size() >= 2);
        assertTrue(harness.sends.stream().allMatch(s -> s.endpoint() == first));
    }

    @Test
    void messageDeduplicatedWithinAZoneIsFailedNotRejected() {
        SchedulerHarness harness = new SchedulerHarness().addEndpoints(1, 10);
        harness.submit(1, KEYED_WITHIN_ZONE, 1);
        harness.onSend = s -> harness.completeLater(s, Outcome.ERROR, 5);
        harness.complete(1, 0, Outcome.ERROR);
        harness.runUntil(16_100);
        assertEquals(List.of("fail 1"), harness.finalResults);
    }

    @Test
    void nothingIsSentToADrainingOrRemovedEndpoint() {
        SchedulerHarness harness = new SchedulerHarness().addEndpoints(1, 10);
        harness.submit(1, SAFE, 1);
        harness.complete(1, 0, Outcome.ERROR);
        harness.putEndpoint(10, 1, 0, 0, false);
        harness.runUntil(5000);
        assertEquals(1, harness.sends.size());
        harness.relay.endpointsChanged(harness.now, true, List.of());
        harness.submit(2, SAFE, 1);
        harness.runUntil(6000);
        assertEquals(1, harness.sends.size());
    }

    @Test
    void retryAfterWaitStopsAllSendsToTheDestination() {
        SchedulerHarness harness = new SchedulerHarness().addEndpoints(1, 10, 11);
        harness.submit(1, SAFE, 1);
        harness.complete(1, 0, Outcome.FULL, 700);
        harness.submit(2, UNSAFE, 1);
        harness.submit(3, KEYED, 1);
        harness.runUntil(700);
        assertEquals(1, harness.sends.size());
        harness.runUntil(4000);
        assertTrue(harness.sends.size() > 1);
    }

    /** Messages of one call may get different Retry-After waits: once only that of the first message was kept. */
    @Test
    void longestRetryAfterWaitOfOneCallCounts() {
        SchedulerHarness harness = new SchedulerHarness().putEndpoint(10, 1, 1, 0, true);
        harness.submitInOneTurn(2, SAFE, 1);
        harness.complete(1, 0, Outcome.FULL, 0);
        harness.complete(2, 0, Outcome.FULL, 3000);
        harness.runUntil(3000);
        assertEquals(2, harness.sends.size());
    }

    /** Such a wait comes with an answer after the end of its call, or with one that can't be read to its end. */
    @Test
    void retryAfterWaitWithoutAnAttemptResultStopsAllSends() {
        SchedulerHarness harness = new SchedulerHarness().addEndpoints(1, 10, 11).addEndpoints(2, 20);
        harness.relay.retryAfterReceived(harness.now, 10, 700);
        harness.relay.retryAfterReceived(harness.now, 99, 700);
        harness.submit(1, SAFE, 1);
        harness.submit(2, SAFE, 2);
        harness.runUntil(700);
        assertEquals(List.of(2L), harness.sentMessages());
        harness.runUntil(710);
        assertEquals(List.of(2L, 1L), harness.sentMessages());
    }

    /** A Retry-After wait may arrive between the decision to send and the write of the call. */
    @Test
    void sendAllowedIsFalseDuringARetryAfterWait() {
        SchedulerHarness harness = new SchedulerHarness().addEndpoints(1, 10, 11);
        harness.submit(1, SAFE, 1);
        assertTrue(harness.relay.sendAllowed(harness.now, 11));
        harness.complete(1, 0, Outcome.FULL, 700);
        for (long endpoint : List.of(10L, 11L)) {
            assertFalse(harness.relay.sendAllowed(harness.now + 699, endpoint));
            assertTrue(harness.relay.sendAllowed(harness.now + 702, endpoint));
        }
        harness.putEndpoint(10, 1, 0, 0, false);
        assertFalse(harness.relay.sendAllowed(harness.now + 702, 10));
        assertFalse(harness.relay.sendAllowed(harness.now + 702, 99), "never listed");
    }

    @Test
    void retryAfterWaitAppliesToOneRouteIfRoutesAreSeparate() {
        SchedulerHarness harness = new SchedulerHarness().putEndpoint(10, 1, 2, 0, true).putEndpoint(11, 1, 2, 0, true);
        harness.submit(1, SAFE, 1);
        harness.complete(1, 0, Outcome.FULL, 5000);
        harness.runUntil(900);
        assertEquals(2, harness.sends.size());
        assertFalse(harness.sends.get(0).endpoint() == harness.sends.get(1).endpoint());
    }

    @Test
    void messagesOfOneKeyAreSentInOrderWithACoolDownAfterAnAttemptThatMayHaveRun() {
        SchedulerHarness harness = new SchedulerHarness().addEndpoints(1, 10, 11);
        harness.submit(1, UNSAFE, 1, "k");
        harness.submit(2, UNSAFE, 1, "k");
        harness.submit(3, UNSAFE, 1, "other");
        assertEquals(List.of(1L, 3L), harness.sentMessages());
        harness.complete(1, 0, Outcome.TIMED_OUT);
        harness.runUntil(490);
        assertEquals(List.of(1L, 3L), harness.sentMessages());
        harness.runUntil(600);
        assertEquals(List.of(1L, 3L, 2L), harness.sentMessages());
    }

    @Test
    void cancelledMessageWithAnAttemptInFlightStillBlocksItsKey() {
        SchedulerHarness harness = new SchedulerHarness().addEndpoints(1, 10, 11);
        harness.submit(1, UNSAFE, 1, "k");
        harness.submit(2, UNSAFE, 1, "k");
        harness.relay.messageCancelled(harness.now, 1);
        harness.runUntil(300);
        assertEquals(List.of(1L), harness.sentMessages());
        harness.complete(1, 0, Outcome.DELIVERED);
        assertEquals(List.of(1L, 2L), harness.sentMessages());
    }

    // ---- rate limits and health ----

    @Test
    void refusalLimitsTheRateAndDeliveriesRaiseItAgain() {
        SchedulerHarness harness = new SchedulerHarness(100).addEndpoints(1, 10);
        harness.onSend = s -> harness.completeLater(s, Outcome.DELIVERED, 5);
        for (int i = 0; i < 8; i++) {
            harness.submit(i, SAFE, 1);
        }
        harness.runUntil(100);
        assertEquals(8, harness.sends.size(), "no rate limit before the first refusal");
        harness.onSend = s -> { };
        harness.submit(50, SAFE, 1);
        harness.complete(50, 0, Outcome.FULL);
        harness.onSend = s -> harness.completeLater(s, Outcome.DELIVERED, 5);
        for (int i = 100; i < 160; i++) {
            harness.submit(i, SAFE, 1);
        }
        double start = harness.now;
        harness.runUntil(start + 1000);
        int early = harness.sends.size() - 9;
        assertTrue(early >= 4 && early <= 16, "rate-limited, sent " + early);
        harness.runUntil(start + 4000);
        assertTrue(harness.sends.size() - 9 > 5 * early, "the rate recovers");
    }

    @Test
    void silentEndpointGetsSingleProbesInsteadOfTheBacklog() {
        SchedulerHarness harness = new SchedulerHarness(100).addEndpoints(1, 10);
        for (int i = 0; i < 40; i++) {
            harness.submit(i, SAFE, 1);
            harness.runUntil(harness.now + 100);
        }
        int before = harness.sends.size();
        harness.runUntil(harness.now + 4000);
        assertTrue(harness.sends.size() <= before + 3, "sent " + (harness.sends.size() - before));
    }

    /** An endpoint that takes seconds to answer, but does answer, must not stay marked as down. */
    @Test
    void slowAnswerMarksASilentEndpointAsUp() {
        SchedulerHarness harness = new SchedulerHarness(100).addEndpoints(1, 10);
        harness.submit(1, UNSAFE, 1);
        harness.submit(2, UNSAFE, 1);
        harness.runUntil(1500);
        harness.submit(3, UNSAFE, 1);
        assertEquals(2, harness.sends.size(), "silent: the backlog is not sent");
        harness.complete(1, 0, Outcome.DELIVERED);
        assertEquals(3, harness.sends.size());
    }

    @Test
    void recoveringDestinationIsNotOverloaded() {
        SchedulerHarness harness = new SchedulerHarness(100).addEndpoints(1, 10);
        harness.onSend = s -> harness.completeLater(s, Outcome.DELIVERED, 20);
        harness.submitEvery(100, SAFE, 1, 20_000);
        harness.onSend = s -> harness.completeLater(s, Outcome.UNREACHABLE, 20);
        harness.submitEvery(100, SAFE, 1, 30_000);
        harness.onSend = s -> harness.completeLater(s, Outcome.DELIVERED, 20);
        harness.submitEvery(100, SAFE, 1, 45_000);
        for (double from = 30_000; from + 1500 <= 42_000; from += 250) {
            double end = from + 1500;
            double capacity = 10 * 1.5 * (0.2 + 0.8 * Math.min(1, (from - 30_000) / 12_000));
            long sent = harness.sends.stream().filter(s -> s.sentAt() >= end - 1500 && s.sentAt() < end).count();
            assertTrue(sent <= 2 * capacity, "sent " + sent + " from " + from);
        }
    }

    /** Single connection resets kept an endpoint in slow start for ever. */
    @Test
    void occasionalLostCallsDoNotLimitAnEndpoint() {
        SchedulerHarness harness = new SchedulerHarness(100).addEndpoints(1, 10);
        harness.onSend = s -> harness.completeLater(s, harness.sends.size() % 4 == 0
                ? Outcome.BROKEN : Outcome.DELIVERED, 20);
        harness.submitEvery(200, SAFE, 1, 30_000);
        long last = harness.sends.stream().filter(s -> s.sentAt() > 20_000).count();
        assertTrue(last >= 50, "sends in the last ten seconds: " + last);
    }

    /** An endpoint that had been down was never probed while another one of its destination was healthy. */
    @Test
    void downEndpointIsProbedAlsoIfAnotherOneIsHealthy() {
        SchedulerHarness harness = new SchedulerHarness(100).addEndpoints(1, 10, 11);
        harness.onSend = s -> harness.completeLater(s, s.endpoint() == 10 && harness.now < 5000 ? Outcome.UNREACHABLE
                : Outcome.DELIVERED, 20);
        harness.submitEvery(100, SAFE, 1, 40_000);
        assertTrue(harness.sends.stream().filter(s -> s.endpoint() == 10 && s.sentAt() > 30_000).count() > 10);
    }

    /** A few slow destinations held all slots; at three slots per sender, they held two each. */
    @Test
    void destinationHoldsOnlyOneOfThreeSlots() {
        SchedulerHarness harness = new SchedulerHarness(3).addEndpoints(1, 10).addEndpoints(2, 20);
        harness.submit(1, SAFE, 1);
        harness.submit(2, SAFE, 1);
        harness.submit(3, SAFE, 2);
        assertEquals(List.of(1L, 3L), harness.sentMessages());
        harness.complete(1, 0, Outcome.DELIVERED);
        assertEquals(List.of(1L, 3L, 2L), harness.sentMessages());
    }

    @Test
    void destinationLeavesSlotsForOthers() {
        SchedulerHarness harness = new SchedulerHarness(10).addEndpoints(1, 10).addEndpoints(2, 20);
        for (long id = 0; id < 20; id++) {
            harness.submit(id, SAFE, 1);
        }
        assertEquals(5, harness.sends.size());
        harness.submit(50, SAFE, 2);
        assertEquals(6, harness.sends.size());
    }

    /** A quarter of the slots stayed free while messages waited for a fast destination. */
    @Test
    void fastDestinationMayHoldAllSlotsButOneUntilACallIsOverdue() {
        SchedulerHarness harness = new SchedulerHarness(10).addEndpoints(1, 10).addEndpoints(2, 20);
        harness.submit(0, SAFE, 1);
        harness.complete(0, 0, Outcome.DELIVERED);
        for (long id = 1; id <= 20; id++) {
            harness.submit(id, SAFE, 1);
        }
        assertEquals(1 + 9, harness.sends.size());
        harness.submit(50, SAFE, 2);
        assertEquals(1 + 10, harness.sends.size(), "one slot is left for others");
        harness.runUntil(700);
        harness.complete(50, 0, Outcome.DELIVERED);
        harness.complete(1, 0, Outcome.DELIVERED);
        assertEquals(1 + 11, harness.sends.size());
        harness.runUntil(900);
        harness.complete(2, 0, Outcome.DELIVERED);
        assertEquals(1 + 11, harness.sends.size(), "the calls in flight may get no answer");
    }

    /** In a process that had not measured any demand yet, slow start began at one call per second. */
    @Test
    void slowStartBeginsWithTheFairShareOfTheListedRate() {
        SchedulerHarness harness = new SchedulerHarness(100);
        harness.listedRate = 40;
        harness.addEndpoints(1, 10);
        harness.relay.restoreEndpointHealth(harness.now, 10, new Relay.EndpointHealth(Relay.EndpointState.DOWN, 0, 0));
        harness.onSend = s -> harness.completeLater(s, Outcome.DELIVERED, 20);
        for (long id = 1; id <= 100; id++) {
            harness.restoreInTurn(id, SAFE, 1, 12_000, List.of());
        }
        harness.relay.endTurn(harness.now);
        harness.runUntil(6000);
        assertTrue(harness.sends.size() >= 15 && harness.sends.size() <= 40, "sent in 6 s: " + harness.sends.size());
    }

    /** With no deliveries before the outage, slow start allowed only one call in seven seconds. */
    @Test
    void slowStartAfterAnInitialOutageFollowsTheDemand() {
        SchedulerHarness harness = new SchedulerHarness(100).addEndpoints(1, 10);
        harness.onSend = s -> harness.completeLater(s, harness.now < 6000
                ? Outcome.UNREACHABLE : Outcome.DELIVERED, 20);
        harness.submitEvery(200, SAFE, 1, 14_000);
        long sent = harness.sends.stream().filter(s -> s.sentAt() > 8000).count();
        assertTrue(sent >= 10, "sent in six seconds: " + sent);
    }

    /** Between Retry-After waits the allowed rate grew to forty times the rate of sends. */
    @Test
    void allowedRateSettlesNearALimitThatSendsRetryAfterWaits() {
        SchedulerHarness harness = new SchedulerHarness(100).addEndpoints(1, 10);
        double[] tokens = {2, 0};
        harness.onSend = s -> {
            tokens[0] = Math.min(2, tokens[0] + (harness.now - tokens[1]) * 5 / 1000);
            tokens[1] = harness.now;
            boolean accepted = tokens[0] >= 1;
            tokens[0] -= accepted ? 1 : 0;
            harness.schedule(harness.now + 20,
                    () -> harness.complete(s.message(), s.attempt(), accepted ? Outcome.DELIVERED : Outcome.FULL,
                    accepted ? 0 : 2000));
        };
        harness.submitEvery(125, SAFE, 1, 60_000);
        long accepted = harness.deliveredCount();
        assertTrue(accepted >= 0.6 * 5 * 60, "delivered in a minute at five per second: " + accepted);
    }

    /** Eight senders stayed at their minimum rates for a long time after the refusals had ended. */
    @Test
    void allowedRateOfOneOfManySendersRecoversWhenRefusalsEnd() {
        SchedulerHarness harness = new SchedulerHarness(100, 8);
        harness.listedRate = 16;
        harness.addEndpoints(1, 10);
        harness.onSend = s -> harness.completeLater(s, harness.now < 8000 && harness.sends.size() % 3 > 0 ? Outcome.FULL
                : Outcome.DELIVERED, 20);
        harness.submitEvery(400, SAFE, 1, 40_000);
        long late = harness.sends.stream().filter(s -> s.sentAt() > 20_000 && s.sentAt() < 30_000).count();
        assertTrue(late >= 22, "sent in ten seconds: " + late);
    }

    /** Each of eleven senders went on at its own minimum rate to a destination that refused all calls. */
    @Test
    void minimumRateFollowsTheSendersOwnDemand() {
        SchedulerHarness harness = new SchedulerHarness(100, 11).addEndpoints(1, 10);
        harness.onSend = s -> harness.completeLater(s, Outcome.FULL, 5);
        harness.submitEvery(500, SAFE, 1, 10_000);
        long sent = harness.sends.stream().filter(s -> s.sentAt() > 2000).count();
        assertTrue(sent <= 8, "sent in eight seconds: " + sent);
    }

    /** With few senders, refusals cut the allowed rate far below the fair share of the listed rate. */
    @Test
    void listedRateKeepsTheAllowedRateNearTheFairShare() {
        SchedulerHarness harness = new SchedulerHarness(100, 2);
        harness.listedRate = 8;
        harness.addEndpoints(1, 10);
        harness.onSend = s -> harness.completeLater(s, harness.sends.size() % 3 > 0
                ? Outcome.FULL : Outcome.DELIVERED, 20);
        harness.submitEvery(500, SAFE, 1, 20_000);
        long sent = harness.sends.stream().filter(s -> s.sentAt() > 5000 && s.sentAt() < 15_000).count();
        assertTrue(sent >= 15, "sent in ten seconds: " + sent);
    }

    /** A burst cut the allowed rate of a slow destination to half of the fair share for ten seconds. */
    @Test
    void reportedRateKeepsTheAllowedRateNearTheFairShare() {
        assertTrue(sentAfterARefusal(16, 16) >= 6, "reported rate of eight per second for each sender: "
                + sentAfterARefusal(16, 16));
        for (double invalid : new double[] {0, Double.NaN, Double.POSITIVE_INFINITY, -16}) {
            assertEquals(sentAfterARefusal(0, 0), sentAfterARefusal(invalid, invalid), "reported " + invalid);
        }
        assertTrue(sentAfterARefusal(16, 1e9) <= 10, "one invalid value: " + sentAfterARefusal(16, 1e9));
    }

    /** The number of sends in the second after a refusal, while none of them gets an answer. */
    private static int sentAfterARefusal(double reportedRate, double lastReportedRate) {
        SchedulerHarness harness = new SchedulerHarness(100, 2).addEndpoints(1, 10);
        harness.reportedRate = reportedRate;
        harness.submit(0, SAFE, 1);
        harness.complete(0, 0, Outcome.DELIVERED);
        harness.submit(1, SAFE, 1);
        harness.reportedRate = lastReportedRate;
        harness.complete(1, 0, Outcome.FULL);
        for (int i = 2; i < 60; i++) {
            harness.submit(i, SAFE, 1);
        }
        int before = harness.sends.size();
        harness.runUntil(1000);
        return harness.sends.size() - before;
    }

    /** After a refusal each of a hundred senders went on with two calls per second. */
    @Test
    void minimumRateIsTheFairShareAmongAllSenders() {
        for (int senderCount : List.of(2, 100)) {
            SchedulerHarness harness = new SchedulerHarness(100, senderCount).addEndpoints(1, 10);
            harness.reportedRate = 12;
            harness.submit(0, SAFE, 1);
            harness.submit(1, SAFE, 1);
            harness.complete(0, 0, Outcome.DELIVERED);
            harness.complete(1, 0, Outcome.FULL);
            harness.submit(2, SAFE, 1);
            harness.submit(3, SAFE, 1);
            harness.runUntil(1500);
            assertEquals(senderCount == 2 ? 6 : 3, harness.sends.size(), "sent by one of " + senderCount);
        }
    }

    /** A single send in the last second counted as a rate of one per second, although sends were 5 s apart. */
    @Test
    void firstRefusalOfASlowStreamCutsItsActualRate() {
        SchedulerHarness harness = new SchedulerHarness(100, 100).addEndpoints(1, 10);
        harness.reportedRate = 10;
        for (int id = 0; id < 4; id++) {
            harness.submit(id, SAFE, 1);
            harness.complete(id, 0, id < 3 ? Outcome.DELIVERED : Outcome.FULL);
            harness.runUntil(id < 3 ? harness.now + 5000 : harness.now);
        }
        harness.submit(4, SAFE, 1);
        harness.runUntil(harness.now + 2300);
        assertEquals(4, harness.sends.size());
        harness.runUntil(harness.now + 10_000);
        assertEquals(6, harness.sends.size());
    }

    /** Learning from its own refusals alone is too late for a sender, and each refusal costs all senders. */
    @Test
    void allowedRateFollowsTheReportedShareLeftOfTheLimit() {
        assertTrue(sentWithShareLeft(1) >= 16, "all of the limit left: " + sentWithShareLeft(1));
        assertTrue(sentWithShareLeft(0.1) <= 6, "little of the limit left: " + sentWithShareLeft(0.1));
        for (double invalid : new double[] {Double.NaN, -2, 1e9}) {
            assertEquals(sentWithShareLeft(-1), sentWithShareLeft(invalid), "reported " + invalid);
        }
    }

    /** Sends in the ten seconds after a refusal, at two messages submitted per second; the rest are delivered. */
    private static long sentWithShareLeft(double shareLeft) {
        SchedulerHarness harness = new SchedulerHarness(100, 100).addEndpoints(1, 10);
        harness.reportedRate = 10;
        harness.reportedShareLeft = shareLeft;
        harness.onSend = s -> harness.completeLater(s, harness.sends.size() == 2
                ? Outcome.FULL : Outcome.DELIVERED, 20);
        harness.submitEvery(500, SAFE, 1, 11_000);
        return harness.sends.stream().filter(s -> s.sentAt() > 1000).count();
    }

    /** Seven senders in ten restarted at the same time, and each sent all its stored messages at once. */
    @Test
    void restoredMessagesAreRateLimitedFromTheStart() {
        SchedulerHarness harness = new SchedulerHarness(100, 100);
        harness.listedRate = 50;
        harness.addEndpoints(1, 10);
        for (int id = 0; id < 10; id++) {
            harness.restore(id, SAFE, 1, 10_000, List.of());
        }
        harness.runUntil(1000);
        assertTrue(harness.sends.size() <= 1, "sent in the first second: " + harness.sends.size());
        harness.runUntil(9000);
        assertTrue(harness.sends.size() >= 2, "sent in nine seconds: " + harness.sends.size());
    }

    /** Calls without an answer held all slots until their timeouts. */
    @Test
    void unansweredCallsAreCancelledToFreeTheirSlots() {
        for (int messageClass : List.of(SAFE, UNSAFE)) {
            SchedulerHarness harness = new SchedulerHarness(4, 2);
            harness.checksRules = true;
            for (int destination = 1; destination <= 5; destination++) {
                harness.addEndpoints(destination, 10 * destination);
            }
            harness.onSend = s -> harness.completeLater(s, Outcome.DELIVERED, 20);
            for (int i = 0; i < 100; i++) {
                harness.submit(i, SAFE, 1 + i % 5);
                harness.runUntil(harness.now + 25);
            }
            harness.onSend = s -> {
                if (s.endpoint() == 50) {
                    harness.completeLater(s, Outcome.DELIVERED, 20);
                }
            };
            for (int i = 100; i < 104; i++) {
                harness.submit(i, messageClass, i - 99);
            }
            double start = harness.now;
            harness.runUntil(start + 250);
            harness.submitEvery(20, SAFE, 5, start + 900);
            long sent = harness.sends.stream().filter(s -> s.sentAt() > start && s.endpoint() == 50).count();
            assertEquals(messageClass == SAFE, sent > 10, "sent to the endpoint that answers: " + sent);
        }
    }

    /** A message of a batch was cancelled for its slot, which its call went on to hold, and was sent again. */
    @Test
    void callIsCancelledForItsSlotAsAWhole() {
        SchedulerHarness harness = new SchedulerHarness(2, 2).putEndpoint(10, 1, 1, 0, true).addEndpoints(2, 20)
                .addEndpoints(3, 30);
        harness.submitInOneTurn(3, SAFE, 1);
        harness.submit(4, UNSAFE, 2);
        harness.submit(5, SAFE, 3);
        harness.runUntil(900);
        harness.submit(6, SAFE, 3);
        assertEquals(List.of("1/0", "2/0", "3/0"), harness.cancelledAttempts.stream().sorted().toList());
    }

    /** A message was sent again although the response to its timed-out attempt had said that it was delivered. */
    @Test
    void deliveryReadLateEndsTheMessage() {
        SchedulerHarness harness = new SchedulerHarness().addEndpoints(1, 10);
        harness.submit(1, KEYED, 1);
        harness.complete(1, 0, Outcome.TIMED_OUT);
        harness.complete(1, 0, Outcome.DELIVERED);
        harness.runUntil(17_000);
        assertEquals(List.of(1L), harness.sentMessages());
        assertEquals(List.of(), harness.finalResults);
    }

    /** An attempt that timed out counted as one that may have run, though its response then said that it never ran. */
    @Test
    void refusalReadLateShowsThatTheAttemptNeverRan() {
        SchedulerHarness harness = new SchedulerHarness().addEndpoints(1, 10);
        harness.submit(1, KEYED, 1);
        harness.runUntil(1010);
        harness.complete(1, 1, Outcome.NOT_SENT);
        harness.runUntil(3690);
        harness.complete(1, 0, Outcome.TIMED_OUT);
        harness.complete(1, 0, Outcome.FULL);
        harness.runUntil(5000);
        assertEquals(List.of(1L, 1L, 1L), harness.sentMessages());
        assertEquals(List.of(), harness.finalResults);
    }

    /** A silent endpoint counted as up, because its calls were cancelled for their slots before they were overdue. */
    @Test
    void callCancelledForItsSlotCountsAsUnanswered() {
        SchedulerHarness harness = new SchedulerHarness(4, 2).addEndpoints(1, 10).addEndpoints(2, 20);
        harness.checksRules = true;
        harness.onSend = s -> {
            if (s.endpoint() == 20) {
                harness.completeLater(s, Outcome.DELIVERED, 100);
            }
        };
        harness.submitInOneTurn(3, SAFE, 1);
        assertEquals(2, harness.sends.size());
        for (int i = 10; harness.now < 1100; i++) {
            harness.submit(i, SAFE, 2);
            harness.runUntil(harness.now + 20);
        }
        assertTrue(harness.cancelledAttempts.size() == 1, "cancelled " + harness.cancelledAttempts);
        assertEquals(Optional.of(Relay.EndpointState.DOWN),
                Optional.ofNullable(harness.health.get(10L)).map(Relay.EndpointHealth::state));
    }

    /** A network that reset a tenth of all connections put the busiest endpoint into one slow start after another. */
    @Test
    void burstOfResetsAndFailedConnectsIsNoOutage() {
        SchedulerHarness harness = new SchedulerHarness(100, 2).addEndpoints(1, 10);
        List<Outcome> resets = List.of(Outcome.UNREACHABLE, Outcome.BROKEN);
        harness.onSend = s -> harness.completeLater(s, s.sentAt() > 4000 && s.sentAt() < 4050
                ? resets.get(harness.sends.size() % 2) : Outcome.DELIVERED, 20);
        harness.submitEvery(10, SAFE, 1, 5000);
        int before = harness.sends.size();
        harness.submitEvery(10, SAFE, 1, 6000);
        int sent = harness.sends.size() - before;
        assertTrue(sent > 80, "sent in a second: " + sent);
    }

    /** One connection that was reset put an endpoint into a slow start of twelve seconds. */
    @Test
    void oneFailedConnectIsNoOutage() {
        for (Outcome failure : List.of(Outcome.UNREACHABLE, Outcome.ERROR)) {
            SchedulerHarness harness = new SchedulerHarness(100, 2).addEndpoints(1, 10);
            harness.onSend = s -> harness.completeLater(s, s.sentAt() > 4000 && s.sentAt() < 4100
                    ? failure : Outcome.DELIVERED, 20);
            harness.submitEvery(10, SAFE, 1, 5000);
            int before = harness.sends.size();
            harness.submitEvery(10, SAFE, 1, 6000);
            int sent = harness.sends.size() - before;
            assertEquals(failure == Outcome.UNREACHABLE, sent > 80, failure + ": sent in a second: " + sent);
        }
    }

    /** Each removed endpoint still got a share of the rate that a recovering endpoint was allowed. */
    @Test
    void removedEndpointsHaveNoShareInASlowStart() {
        int withOneRemoved = sentInSlowStart(1);
        int withManyRemoved = sentInSlowStart(40);
        assertTrue(withOneRemoved > 10, "sent in ten seconds: " + withOneRemoved);
        assertTrue(withManyRemoved > 0.7 * withOneRemoved,
                "after forty others: " + withManyRemoved + " of " + withOneRemoved);
    }

    /** Sends in ten seconds of slow start, to a new endpoint that fails at first; others were removed before it. */
    private static int sentInSlowStart(int removedCount) {
        SchedulerHarness harness = new SchedulerHarness(100, 2);
        harness.onSend = s -> harness.completeLater(s, Outcome.DELIVERED, 20);
        for (int i = 0; i < removedCount; i++) {
            harness.addEndpoints(1, 100 + i);
            harness.submitEvery(50, SAFE, 1, harness.now + 40_000.0 / removedCount);
            harness.removeEndpoint(100 + i, 1);
        }
        harness.addEndpoints(1, 10);
        harness.onSend = s -> harness.completeLater(s, s.sentAt() < 43_000
                ? Outcome.UNREACHABLE : Outcome.DELIVERED, 20);
        harness.submitEvery(50, SAFE, 1, 44_000);
        int before = harness.sends.size();
        harness.submitEvery(50, SAFE, 1, 54_000);
        return harness.sends.size() - before;
    }

    /** A message is not rejected while its destination has no endpoint, as one may still be listed. */
    @Test
    void refusedMessageWaitsWhileItsDestinationHasNoEndpoint() {
        SchedulerHarness harness = new SchedulerHarness(100, 2).addEndpoints(1, 10);
        harness.removeEndpoint(10, 1);
        harness.runUntil(40_000);
        harness.addEndpoints(2, 20);
        harness.restore(1, SAFE, 1, 10_000, List.of(new Relay.EarlierAttempt(10, 39_000, false)));
        harness.runUntil(41_000);
        assertTrue(harness.finalResults.isEmpty(), harness.finalResults.toString());
        harness.addEndpoints(1, 11);
        harness.runUntil(42_000);
        assertTrue(harness.sentMessages().contains(1L));
    }

    /** A minimum rate divided among two hundred senders was one call per minute for each. */
    @Test
    void refusedMessageOfASmallSenderIsRepeatedWithinASecond() {
        SchedulerHarness harness = new SchedulerHarness(3, 200).addEndpoints(1, 10);
        harness.onSend = s -> harness.completeLater(s, s.attempt() == 0 ? Outcome.FULL : Outcome.DELIVERED, 5);
        for (int id = 1; id <= 3; id++) {
            harness.submit(id, SAFE, 1);
            harness.runUntil(id * 15_000 + 1000);
            assertEquals(id, harness.deliveredCount());
            harness.runUntil(id * 15_000 + 15_000);
        }
    }

    /** Senders whose Retry-After waits ended at the same time all sent again at that moment. */
    @Test
    void sendersWithTheSameRetryAfterTimeDoNotSendAllAtOnce() {
        int early = 0;
        for (int seed = 0; seed < 40; seed++) {
            SchedulerHarness harness = new SchedulerHarness(3, 200, seed).addEndpoints(1, 10);
            harness.submit(1, SAFE, 1);
            harness.complete(1, 0, Outcome.FULL, 8000);
            harness.runUntil(9000);
            early += harness.sends.size() - 1;
        }
        assertTrue(early <= 8, "of forty senders that sent again within a second: " + early);
    }

    /** A hung endpoint that refused most calls got further attempts until it was overloaded. */
    @Test
    void refusalsAndErrorsTogetherMarkAnEndpointAsDown() {
        SchedulerHarness harness = new SchedulerHarness(3, 200).addEndpoints(1, 10);
        harness.onSend = s -> harness.completeLater(s, harness.sends.size() % 3 > 0
                ? Outcome.FULL : Outcome.ERROR, 300);
        harness.submitEvery(2000, SAFE, 1, 20_000);
        long late = harness.sends.stream().filter(s -> s.sentAt() > 6000).count();
        assertTrue(late <= 2, "sent to an endpoint that never delivers: " + late);
    }

    /** Refused calls used up the destination's limit, and their retries kept it used up for good. */
    @Test
    void retriesOfRefusedMessagesAreLimitedToAShareOfFirstSends() {
        SchedulerHarness harness = new SchedulerHarness(100, 50);
        for (long destination = 0; destination < 100; destination++) {
            harness.addEndpoints(destination, destination);
        }
        harness.onSend = s -> harness.completeLater(s, Outcome.FULL, 5);
        for (long id = 0; id < 100; id++) {
            harness.submit(id, SAFE, id);
            harness.runUntil(harness.now + 100);
        }
        assertTrue(harness.sends.size() <= 132, "sends of a hundred messages: " + harness.sends.size());
        assertTrue(harness.sends.size() >= 120, "sends of a hundred messages: " + harness.sends.size());
    }

    @Test
    void messagesOfOneTurnShareACallAndItsSlot() {
        SchedulerHarness harness = new SchedulerHarness(1).putEndpoint(10, 1, 1, 0, true);
        harness.submitInOneTurn(5, SAFE, 1);
        assertEquals(5, harness.sends.size());
    }

    /**
     * A response to several messages came after the budget of one of them, and nothing told whether the others were
     * delivered.
     */
    @Test
    void messageWithLittleTimeLeftGetsACallOfItsOwn() {
        SchedulerHarness harness = new SchedulerHarness().putEndpoint(10, 1, 1, 0, true);
        harness.submitInOneTurn(SAFE, 1, 16_000, 200, 16_000);
        assertEquals(List.of(2L), harness.sentMessages());
        harness.runUntil(10);
        assertEquals(List.of(2L, 1L, 3L), harness.sentMessages());
        assertEquals(harness.sends.get(1).sentAt(), harness.sends.get(2).sentAt());
    }

    /** Calls that end with a budget marked healthy endpoints as down. */
    @Test
    void callsThatEndBeforeTheyAreOverdueSayNothingAboutTheirEndpoint() {
        SchedulerHarness harness = new SchedulerHarness().addEndpoints(1, 10);
        for (long id = 1; id <= 10; id++) {
            harness.submit(id, UNSAFE, 1);
            harness.runUntil(harness.now + 300);
            harness.complete(id, 0, Outcome.TIMED_OUT);
        }
        assertTrue(harness.health.isEmpty(), harness.health.toString());
    }

    @Test
    void messagesWhoseTimeEndsTogetherShareACall() {
        SchedulerHarness harness = new SchedulerHarness(1).putEndpoint(10, 1, 1, 0, true);
        harness.submitInOneTurn(SAFE, 1, 200, 200, 200);
        assertEquals(3, harness.sends.size());
    }

    @Test
    void cheaperRouteIsPreferred() {
        SchedulerHarness harness = new SchedulerHarness().putEndpoint(10, 1, 2, 1, true).putEndpoint(11, 1, 2, 0, true);
        harness.submit(1, SAFE, 1);
        assertEquals(11, harness.sends.get(0).endpoint());
    }

    /** Senders went on using a hung route although another one worked. */
    @Test
    void otherEndpointIsPreferredAfterAFailedCall() {
        SchedulerHarness harness = new SchedulerHarness().putEndpoint(10, 1, 2, 0, true).putEndpoint(11, 1, 2, 1, true);
        harness.submit(1, UNSAFE, 1);
        harness.complete(1, 0, Outcome.DELIVERED);
        harness.submit(2, UNSAFE, 1);
        assertEquals(10, harness.sends.get(1).endpoint());
        harness.complete(2, 0, Outcome.FULL);
        harness.runUntil(2000);
        harness.submit(3, UNSAFE, 1);
        assertEquals(List.of(11L, 11L),
                harness.sends.stream().skip(2).map(SchedulerHarness.SentAttempt::endpoint).toList());
    }

    /** Idle connections may be dropped on the way without notice, so that the next call on them is lost. */
    @Test
    void idleConnectionsAreClosedBeforeUseAfterLossesAtTwoDestinations() {
        SchedulerHarness harness = new SchedulerHarness().addEndpoints(1, 10).addEndpoints(2, 20).addEndpoints(3, 30);
        for (long id = 1; id <= 3; id++) {
            harness.submit(id, UNSAFE, id);
            harness.complete(id, 0, Outcome.DELIVERED);
        }
        harness.runUntil(4000);
        for (long id = 4; id <= 5; id++) {
            harness.submit(id, UNSAFE, id - 3);
            harness.complete(id, 0, Outcome.BROKEN);
            assertTrue(harness.closedIdleConnections.isEmpty());
        }
        harness.submit(6, UNSAFE, 3);
        assertEquals(List.of(30L), harness.closedIdleConnections);
        assertEquals(6, harness.sends.size());
    }

    @Test
    void newInstanceSendsAtOnce() {
        SchedulerHarness harness = new SchedulerHarness().addEndpoints(1, 10);
        harness.submit(1, UNSAFE, 1);
        assertEquals(1, harness.sends.size());
    }

    // ---- invalid and late events ----

    @Test
    void invalidEventsThrowAndLateEventsAreIgnored() {
        SchedulerHarness harness = new SchedulerHarness().addEndpoints(1, 10);
        harness.submit(1, SAFE, 1);
        assertThrows(IllegalArgumentException.class, () -> harness.complete(7, 0, Outcome.DELIVERED));
        assertThrows(IllegalArgumentException.class, () -> harness.complete(1, 3, Outcome.DELIVERED));
        assertThrows(IllegalArgumentException.class, () -> harness.submit(1, SAFE, 1));
        assertThrows(IllegalArgumentException.class, () -> harness.submit(2, 17, 1));
        assertThrows(IllegalArgumentException.class, () -> harness.relay.wake(harness.now - 1));
        harness.relay.messageCancelled(harness.now, 99);
        harness.relay.wake(harness.now);
    }

    // ---- random events against all rules ----

    @Test
    void randomEventsKeepTheRules() {
        for (int seed = 0; seed < 30; seed++) {
            new RandomRun(seed).run();
        }
    }

    /** Random results, drains and cancellations from a seed; the harness checks the rules at each action. */
    private static final class RandomRun {
        private final Random random;
        private final SchedulerHarness harness;

        RandomRun(int seed) {
            random = new Random(seed);
            harness = new SchedulerHarness(4 + seed % 5);
            harness.checksRules = true;
        }

        void run() {
            for (int destination = 0; destination < 4; destination++) {
                harness.putEndpoint(10 * destination, destination, destination % 3, 0, true)
                        .putEndpoint(10 * destination + 1, destination, destination % 3, 1, true);
            }
            Outcome[] outcomes = Outcome.values();
            harness.onSend = s -> {
                Outcome outcome = random.nextInt(3) > 0 ? Outcome.DELIVERED : outcomes[random.nextInt(6)];
                double durationMs = outcome == Outcome.TIMED_OUT ? s.timeoutMs() : Math.min(s.timeoutMs(),
                        random.nextInt(1500));
                harness.completeLater(s, outcome, durationMs);
            };
            for (long id = 0; id < 300; id++) {
                int messageClass = random.nextInt(4);
                harness.submit(id, messageClass, random.nextInt(4), "k" + random.nextInt(5));
                harness.runUntil(harness.now + random.nextInt(120));
                if (random.nextInt(40) == 0) {
                    int destination = random.nextInt(4);
                    harness.putEndpoint(10 * destination, destination, destination % 3, 0, random.nextBoolean());
                }
                if (random.nextInt(50) == 0) {
                    harness.cancelMessage(random.nextInt((int) id + 1));
                }
            }
            harness.runUntil(harness.now + 40_000);
            harness.checkAllFinished();
        }
    }

    // ---- restarts and handover ----

    private static SchedulerHarness restored(int messageClass, double timeLeftMs, Relay.EarlierAttempt... earlier) {
        SchedulerHarness harness = new SchedulerHarness().addEndpoints(1, 10, 11);
        harness.runUntil(20_000);
        harness.restore(1, messageClass, 1, timeLeftMs, List.of(earlier));
        return harness;
    }

    private static Relay.EarlierAttempt previousAttempt(double agoMs, boolean mayHaveRun) {
        return new Relay.EarlierAttempt(10, 20_000 - agoMs, mayHaveRun);
    }

    @Test
    void attemptOfAPreviousProcessHoldsNoSlotAndKeepsItsNumber() {
        SchedulerHarness harness = restored(SAFE, 9000, previousAttempt(500, true), previousAttempt(100, false));
        assertEquals(List.of(1L), harness.sentMessages());
        harness.complete(1, 2, Outcome.DELIVERED);
        assertTrue(harness.finalResults.isEmpty());
        for (long id = 2; id <= 6; id++) {
            harness.submit(id, SAFE, 1);
        }
        assertTrue(harness.sends.size() >= 5, "attempts in flight when the process ended hold no slot");
    }

    /** One call that was never answered kept the messages of a busy destination waiting. */
    @Test
    void oneUnansweredCallDoesNotTakeSlotsFromAnEndpointThatAnswers() {
        SchedulerHarness harness = new SchedulerHarness(10).addEndpoints(1, 10);
        harness.onSend = s -> {
            if (s.message() != 0) {
                harness.completeLater(s, Outcome.DELIVERED, 20);
            }
        };
        harness.submitEvery(50, KEYED, 1, 950);
        harness.onSend = s -> { };
        int before = harness.sends.size();
        for (int id = 1000; id < 1010; id++) {
            harness.submit(id, KEYED, 1);
        }
        assertEquals(8, harness.sends.size() - before, "all slots but one, including that of the unanswered call");
    }

    /** Each slot that became free went to a destination without a call in flight, never to the busiest one. */
    @Test
    void busiestFastDestinationGetsTheLastSlotWhileItHoldsLessThanItsShare() {
        SchedulerHarness harness = new SchedulerHarness(4).addEndpoints(1, 10).addEndpoints(2, 20).addEndpoints(3, 30);
        harness.onSend = s -> {
            if (s.sentAt() < 1000) {
                harness.completeLater(s, Outcome.DELIVERED, 20);
            }
        };
        harness.submitEvery(50, KEYED, 1, 1000);
        harness.submit(1001, KEYED, 1);
        harness.submit(1002, KEYED, 2);
        harness.submit(1003, KEYED, 3);
        harness.submit(1004, KEYED, 2);
        assertFalse(harness.sentMessages().contains(1004L),
                "a destination with little demand holds at most as many slots as stay free");
        harness.submit(1005, KEYED, 1);
        assertTrue(harness.sentMessages().contains(1005L), "it has most of the demand and holds one slot of four");
    }

    private static Relay.EarlierAttempt attemptStillInFlight(double agoMs, long call) {
        return new Relay.EarlierAttempt(10, 20_000 - agoMs, true, OptionalLong.of(call));
    }

    @Test
    void attemptInFlightInAnotherProcessIsNeitherRepeatedNorFailedBeforeItsResult() {
        SchedulerHarness harness = restored(UNSAFE, 9000, attemptStillInFlight(500, 3));
        harness.runUntil(21_000);
        assertTrue(harness.sends.isEmpty() && harness.finalResults.isEmpty(), "neither repeated nor failed");
        harness.complete(1, 0, Outcome.FULL);
        harness.runUntil(23_000);
        assertEquals(List.of(1L), harness.sentMessages(), "it never ran, so it is sent again");
        SchedulerHarness failed = restored(UNSAFE, 9000, attemptStillInFlight(500, 3));
        failed.complete(1, 0, Outcome.BROKEN);
        assertEquals(List.of("fail 1"), failed.finalResults);
    }

    @Test
    void attemptsOfOneCallOfAnotherProcessHoldOneSlotUntilTheLastIsCompleted() {
        SchedulerHarness harness = new SchedulerHarness(2).addEndpoints(1, 10).addEndpoints(2, 20).addEndpoints(3, 30);
        harness.runUntil(20_000);
        harness.restoreInTurn(1, SAFE, 1, 9000, List.of(attemptStillInFlight(50, 3)));
        harness.restore(2, SAFE, 1, 9000, List.of(attemptStillInFlight(50, 3)));
        harness.submit(3, UNSAFE, 2);
        assertEquals(List.of(3L), harness.sentMessages(), "one slot was left");
        harness.submit(4, UNSAFE, 3);
        harness.complete(1, 0, Outcome.DELIVERED);
        assertEquals(List.of(3L), harness.sentMessages(), "the call is still in flight");
        harness.complete(2, 0, Outcome.DELIVERED);
        harness.runUntil(20_100);
        assertEquals(List.of(3L, 4L), harness.sentMessages());
    }

    @Test
    void attemptInFlightInAnotherProcessIsHedgedAndCancelled() {
        SchedulerHarness harness = restored(SAFE, 9000, attemptStillInFlight(500, 3));
        double hedgeDelay = CLASSES.get(SAFE).targetLatencyMs() / 2;
        harness.runUntil(20_000 - 500 + hedgeDelay - 10);
        assertTrue(harness.sends.isEmpty());
        harness.runUntil(20_000 - 500 + hedgeDelay + 10);
        assertEquals(List.of(1L), harness.sentMessages());
        harness.complete(1, 1, Outcome.DELIVERED);
        assertEquals(List.of("1/0"), harness.cancelledAttempts);
        SchedulerHarness late = restored(SAFE, 9000, attemptStillInFlight(hedgeDelay + 100, 3));
        late.runUntil(20_500);
        assertTrue(late.sends.isEmpty(), "its hedging delay passed in the other process");
    }

    /** A scheduler that restores the learned state of another one. */
    private static SchedulerHarness successor(SchedulerHarness before, long... endpoints) {
        SchedulerHarness after = new SchedulerHarness().addEndpoints(1, endpoints);
        after.runUntil(5000);
        after.relay.restoreLearnedState(after.now, before.relay.learnedState(before.now));
        return after;
    }

    @Test
    void retryAfterWaitIsKeptByTheNextProcess() {
        SchedulerHarness before = new SchedulerHarness().addEndpoints(1, 10);
        before.submit(1, SAFE, 1);
        before.complete(1, 0, Outcome.FULL, 900);
        for (SchedulerHarness after : List.of(successor(before, 10), successor(before).addEndpoints(1, 10))) {
            after.submit(1, SAFE, 1);
            after.runUntil(5895);
            assertTrue(after.sends.isEmpty(),
                    "the wait applies, whether the endpoint is listed before or after it is restored");
            after.runUntil(6500);
            assertEquals(List.of(1L), after.sentMessages());
        }
    }

    @Test
    void allowedRateAndHedgeBudgetApplyAcrossProcesses() {
        SchedulerHarness before = new SchedulerHarness(100, 1).addEndpoints(1, 10, 11);
        before.onSend = s -> before.completeLater(s, s.sentAt() > 900 ? Outcome.FULL : Outcome.DELIVERED, 20);
        before.submitEvery(50, SAFE, 1, 1000);
        SchedulerHarness limited = successor(before, 10, 11);
        limited.submitInOneTurn(20, SAFE, 1);
        limited.runUntil(5010);
        assertTrue(limited.sends.size() <= 2, "the allowed rate applies in the next process: " + limited.sends.size());

        SchedulerHarness hedged = new SchedulerHarness().addEndpoints(1, 10, 11);
        hedged.submitInOneTurn(2, SAFE, 1);
        hedged.runUntil(CLASSES.get(SAFE).targetLatencyMs() / 2 + 10);
        assertEquals(3, hedged.sends.size(), "one hedged attempt for two first sends");
        SchedulerHarness after = successor(hedged, 10, 11);
        after.submitInOneTurn(2, SAFE, 1);
        after.runUntil(5000 + CLASSES.get(SAFE).targetLatencyMs() / 2 + 10);
        assertEquals(2, after.sends.size(), "the hedged attempt of the other process counts for ten seconds");
    }

    @Test
    void keyedMessageIsRepeatedAfterARestartOnlyWithinItsDedupWindow() {
        assertEquals(List.of(1L), restored(KEYED, 9000, previousAttempt(1000, true)).sentMessages());
        SchedulerHarness late = restored(KEYED, 9000, previousAttempt(4000, true));
        assertTrue(late.sends.isEmpty());
        assertEquals(List.of("reject 1"), late.finalResults, "rejected at once, not at its deadline");
        assertEquals(List.of(1L), restored(KEYED, 9000, previousAttempt(4000, false)).sentMessages());
    }

    @Test
    void keyedMessageGetsItsResultWhenItsDedupWindowHasPassed() {
        SchedulerHarness harness = new SchedulerHarness().addEndpoints(1, 10);
        harness.submit(1, KEYED, 1);
        harness.complete(1, 0, Outcome.ERROR);
        harness.putEndpoint(10, 1, 0, 0, false);
        harness.runUntil(3650);
        assertTrue(harness.finalResults.isEmpty());
        harness.runUntil(3750);
        assertEquals(List.of("reject 1"), harness.finalResults, "not only at its deadline");
    }

    @Test
    void outageBeforeTheRestartContinuesWithProbes() {
        SchedulerHarness harness = new SchedulerHarness().addEndpoints(1, 10);
        harness.runUntil(20_000);
        harness.relay.restoreEndpointHealth(harness.now, 10,
                new Relay.EndpointHealth(Relay.EndpointState.DOWN, 15_000, 0));
        for (long id = 1; id <= 12; id++) {
            harness.restoreInTurn(id, SAFE, 1, 9000, List.of(previousAttempt(1000, false)));
        }
        harness.onSend = s -> harness.completeLater(s, Outcome.DELIVERED, 100);
        harness.relay.endTurn(harness.now);
        harness.runUntil(23_000);
        assertTrue(harness.sends.size() >= 1 && harness.sends.size() <= 6, "sent in 3 s: " + harness.sends.size());
        harness.runUntil(29_100);
        harness.checkAllFinished();
    }

    /** A restored backlog that waited for slots was taken for an outage: it got probes and a slow start of 12 s. */
    @Test
    void restoredBacklogAloneIsNoOutage() {
        SchedulerHarness harness = new SchedulerHarness().addEndpoints(1, 10);
        harness.runUntil(20_000);
        harness.onSend = s -> harness.completeLater(s, Outcome.DELIVERED, 100);
        for (long id = 1; id <= 12; id++) {
            harness.restoreInTurn(id, SAFE, 1, 9000, id % 2 == 0 ? List.of() : List.of(previousAttempt(1000, false)));
        }
        harness.relay.endTurn(harness.now);
        harness.runUntil(21_000);
        assertEquals(12, harness.sends.size());
    }

    @Test
    void slowStartContinuesAfterARestartFromTheSustainedRate() {
        SchedulerHarness harness = new SchedulerHarness().addEndpoints(1, 10);
        harness.runUntil(20_000);
        // The health is restored before a list names the endpoint.
        harness.relay.restoreEndpointHealth(harness.now, 20,
                new Relay.EndpointHealth(Relay.EndpointState.WARMING, 11_000, 0.02));
        harness.addEndpoints(2, 20);
        harness.onSend = s -> harness.completeLater(s, Outcome.DELIVERED, 20);
        for (long id = 1; id <= 60; id++) {
            harness.restoreInTurn(id, SAFE, 2, 9000, List.of());
        }
        harness.relay.endTurn(harness.now);
        harness.runUntil(21_000);
        assertTrue(harness.sends.size() >= 15 && harness.sends.size() <= 35, "sent in 1 s: " + harness.sends.size());
        harness.runUntil(24_000);
        assertEquals(60, harness.sends.size(), "slow start ends after three more seconds");
    }

    @Test
    void endpointHealthIsSavedForTheNextProcess() {
        SchedulerHarness harness = new SchedulerHarness().addEndpoints(1, 10);
        harness.submit(1, SAFE, 1);
        harness.complete(1, 0, Outcome.UNREACHABLE);
        assertEquals(Relay.EndpointState.DOWN, harness.health.get(10L).state());
        harness.onSend = s -> harness.completeLater(s, Outcome.DELIVERED, 20);
        harness.runUntil(5000);
        assertEquals(Relay.EndpointState.WARMING, harness.health.get(10L).state());
        double since = harness.health.get(10L).sinceMs();
        assertTrue(since > 0 && since < 5000);
        harness.runUntil(15_000);
        harness.submit(2, SAFE, 1);
        harness.runUntil(15_100);
        assertEquals(Relay.EndpointState.UP, harness.health.get(10L).state());
    }

    @Test
    void rejectionSaysWhenTheDestinationIsReadyAgain() {
        SchedulerHarness harness = new SchedulerHarness().addEndpoints(1, 10).addEndpoints(2, 20);
        harness.submit(1, SAFE, 1);
        harness.complete(1, 0, Outcome.FULL, 5000);
        harness.restore(2, SAFE, 1, -1, List.of());
        harness.restore(3, SAFE, 2, -1, List.of());
        assertEquals(List.of("reject 2", "reject 3"), harness.finalResults);
        assertTrue(harness.rejectionRetryAfters.get(0) >= 5000, "at least the Retry-After wait");
        assertEquals(0, harness.rejectionRetryAfters.get(1));
    }

    @Test
    void repeatsStayInTheirZoneAfterARestart() {
        SchedulerHarness harness = new SchedulerHarness().putEndpoint(10, 1, 0, 0, true).putEndpoint(11, 1, 0, 1, true);
        harness.runUntil(20_000);
        harness.restore(1, KEYED_WITHIN_ZONE, 1, 9000, List.of(new Relay.EarlierAttempt(11, 19_900, true)));
        assertEquals(11, harness.sends.get(0).endpoint());
        harness.restore(2, KEYED_WITHIN_ZONE, 1, 9000, List.of(new Relay.EarlierAttempt(99, 19_900, true)));
        assertEquals(List.of("fail 2"), harness.finalResults, "the zone of a removed endpoint is unknown");
    }

    @Test
    void unsafeMessageThatMayHaveRunIsFailedAfterARestart() {
        SchedulerHarness harness = restored(UNSAFE, 9000, previousAttempt(100, true));
        assertTrue(harness.sends.isEmpty());
        assertEquals(List.of("fail 1"), harness.finalResults);
        assertEquals(List.of(1L), restored(UNSAFE, 9000, previousAttempt(100, false)).sentMessages());
    }

    @Test
    void attemptsOfAllProcessesCountTogether() {
        Relay.EarlierAttempt[] twelve = new Relay.EarlierAttempt[12];
        java.util.Arrays.fill(twelve, previousAttempt(100, false));
        SchedulerHarness harness = restored(SAFE, 9000, twelve);
        assertTrue(harness.sends.isEmpty());
        assertEquals(List.of("reject 1"), harness.finalResults);
    }

    @Test
    void expiredMessageIsRejectedAtOnce() {
        SchedulerHarness harness = restored(SAFE, -100);
        assertTrue(harness.sends.isEmpty());
        assertEquals(List.of("reject 1"), harness.finalResults);
    }

    @Test
    void orderedKeyCoolsDownAfterARestartIfAnAttemptMayStillRun() {
        SchedulerHarness harness = restored(UNSAFE, 9000, previousAttempt(100, true));
        harness.submit(2, UNSAFE, 1, "key 1");
        harness.runUntil(20_490);
        assertTrue(harness.sends.isEmpty());
        harness.runUntil(20_510);
        assertEquals(List.of(2L), harness.sentMessages());
    }

    @Test
    void noCallStartsThatWouldEndAfterTheShutdown() {
        SchedulerHarness harness = new SchedulerHarness().addEndpoints(1, 10, 11);
        harness.relay.shutdownScheduled(harness.now, 3000);
        harness.submit(1, SAFE, 1);
        assertEquals(List.of(1L), harness.sentMessages());
        harness.complete(1, 0, Outcome.DELIVERED);
        harness.runUntil(2000);
        harness.submit(2, UNSAFE, 1);
        assertEquals(List.of(1L), harness.sentMessages(),
                "an unsafe message needs time for a slow answer, or is not sent");
        harness.runUntil(2500);
        harness.submit(3, SAFE, 1);
        harness.runUntil(6000);
        assertFalse(harness.sentMessages().contains(3L));
    }

    /** After SIGTERM no unsafe message was sent, because its whole timeout never fitted before the shutdown. */
    @Test
    void unsafeMessageIsSentBeforeTheShutdownIfASlowAnswerStillFits() {
        SchedulerHarness harness = new SchedulerHarness().addEndpoints(1, 10);
        harness.relay.shutdownScheduled(harness.now, 3300);
        harness.submit(1, UNSAFE, 1);
        assertEquals(List.of(1L), harness.sentMessages());
        assertTrue(harness.sends.get(0).timeoutMs() > 3300);
    }

    // ---- the decision modules ----

    /** The decision modules are the ones that the deploy file names as its policy, and their length is bounded. */
    @Test
    void theDecisionModulesAreNamedAndBounded() throws Exception {
        String policy = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("policy = ")).findFirst().orElseThrow();
        for (String module : List.of("DeliveryScheduler", "IdleConnectionReuse", "OutageEvidence", "PriorityCurve",
                "SendBudget", "UnlistedEndpoints")) {
            String file = "src/main/java/kestreldeal/" + module + ".java";
            assertTrue(policy.contains('"' + file + '"'), policy);
            List<String> lines = Files.readAllLines(Path.of(file));
            assertTrue(lines.stream().filter(l -> !l.isBlank()).count() <= 1300, file);
            assertTrue(lines.stream().allMatch(l -> l.length() <= 110), file);
        }
    }

    static final List<Relay.MessageClass> CLASSES = List.of(
            new Relay.MessageClass(2000, 16_000, 1, 0.5, Repeat.SAFE, false, 0, false),
            new Relay.MessageClass(2000, 16_000, 1, 0.5, Repeat.KEYED, false, 4000, false),
            new Relay.MessageClass(2000, 16_000, 4, 0.3, Repeat.UNSAFE, false, 0, true),
            new Relay.MessageClass(2000, 16_000, 1, 0.5, Repeat.KEYED, true, 15_000, false),
            new Relay.MessageClass(16_000, 16_000, 8, 0, Repeat.SAFE, false, 0, false));
}
