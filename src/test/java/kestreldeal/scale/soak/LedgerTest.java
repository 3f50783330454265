package kestreldeal.scale.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import kestreldeal.scale.soak.Ledger.Rule;
import kestreldeal.scale.soak.SoakSettings.MessageClass;
import org.junit.jupiter.api.Test;

/** Tests that the ledger reports breaches of the rules that it checks itself, and none while they are kept. */
class LedgerTest {
    private static final int SENDER = 0;
    private static final int DESTINATION = 3;

    private double nowMs = 1000;
    private final Ledger ledger = new Ledger(1, new Ledger.Clock() {
        @Override
        public double nowMs() {
            return nowMs;
        }

        @Override
        public double schedulingDelayMs() {
            return 0;
        }
    });

    LedgerTest() {
        ledger.senderReady(SENDER);
    }

    private Ledger.Message acceptedMessage(String id, String key, MessageClass messageClass) {
        Ledger.Message message = new Ledger.Message(id, key, messageClass, DESTINATION, SENDER, nowMs,
                messageClass.deadlineMs);
        ledger.messageSubmitted(message);
        ledger.messageAccepted(message);
        return message;
    }

    private Ledger.Message acceptedMessage() {
        return acceptedMessage("id", "key", MessageClass.ORDER);
    }

    private void assertBreaches(Rule... rules) {
        assertEquals(List.of(rules), ledger.breaches().stream().map(Ledger.Breach::rule).toList());
    }

    @Test
    void messageWithoutResultIsLostAfterDeadlineAndGrace() {
        acceptedMessage();
        nowMs += MessageClass.ORDER.deadlineMs + 350;
        assertFalse(ledger.checkResults());
        assertBreaches();
        nowMs++;
        assertTrue(ledger.checkResults());
        assertBreaches(Rule.LOST);
    }

    @Test
    void deliveredNoticedAndUnacceptedMessagesAreNotLost() {
        ledger.messageDelivered(acceptedMessage("a", "a", MessageClass.ORDER), nowMs);
        acceptedMessage("b", "b", MessageClass.ORDER);
        ledger.noticeReceived("b");
        ledger.messageSubmitted(new Ledger.Message("c", "c", MessageClass.ORDER, DESTINATION, SENDER, nowMs, 1000));
        nowMs += 60_000;
        assertTrue(ledger.checkResults());
        assertBreaches();
    }

    @Test
    void resultIsNotOverdueWhileSenderRestartsAndJustAfter() {
        acceptedMessage();
        ledger.senderStopping(SENDER);
        nowMs += 60_000;
        assertFalse(ledger.checkResults());
        ledger.senderReady(SENDER);
        nowMs += 1550;
        assertFalse(ledger.checkResults());
        assertBreaches();
        nowMs++;
        ledger.checkResults();
        assertBreaches(Rule.LOST);
    }

    @Test
    void unsafeMessageIsProcessedOncePerKey() {
        ledger.messageProcessed(acceptedMessage("a", "key", MessageClass.PAYMENT));
        ledger.messageProcessed(acceptedMessage("b", "other", MessageClass.PAYMENT));
        assertBreaches();
        ledger.messageProcessed(acceptedMessage("c", "key", MessageClass.PAYMENT));
        assertBreaches(Rule.RAN_TWICE);
    }

    @Test
    void repeatIsProcessedWithinDedupWindow() {
        Ledger.Message message = acceptedMessage();
        ledger.messageProcessed(message);
        nowMs += MessageClass.ORDER.dedupWindowMs + 50;
        ledger.messageProcessed(message);
        assertBreaches();
        nowMs++;
        ledger.messageProcessed(message);
        assertBreaches(Rule.REPEATED_PAST_ITS_WINDOW);
    }

    @Test
    void noNewCallAfterDrainGrace() {
        Ledger.Message message = acceptedMessage();
        ledger.callReceived(message, DESTINATION, nowMs - 1050);
        ledger.callReceived(message, DESTINATION, Double.POSITIVE_INFINITY);
        assertBreaches();
        ledger.callReceived(message, DESTINATION, nowMs - 1051);
        assertBreaches(Rule.SENT_AFTER_DRAIN);
    }

    @Test
    void retryAfterWaitIsKeptUntilItEndsOrTheSenderRestarts() {
        Ledger.Message message = acceptedMessage();
        ledger.retryAfterSent(SENDER, DESTINATION, 1000);
        nowMs += 300;
        ledger.callReceived(message, DESTINATION, Double.POSITIVE_INFINITY);
        assertBreaches();
        nowMs++;
        ledger.callReceived(message, DESTINATION, Double.POSITIVE_INFINITY);
        assertBreaches(Rule.SENT_IN_A_WAIT);
        ledger.senderExited(SENDER);
        ledger.callReceived(message, DESTINATION, Double.POSITIVE_INFINITY);
        assertBreaches(Rule.SENT_IN_A_WAIT);
    }

    @Test
    void callIsAllowedWhenRetryAfterWaitEnds() {
        Ledger.Message message = acceptedMessage();
        ledger.retryAfterSent(SENDER, DESTINATION, 1000);
        nowMs += 1000;
        ledger.callReceived(message, DESTINATION, Double.POSITIVE_INFINITY);
        assertBreaches();
    }

    @Test
    void wrongDestinationAndNoticeOfUnknownMessageAreBreaches() {
        ledger.callReceived(acceptedMessage(), DESTINATION + 1, Double.POSITIVE_INFINITY);
        ledger.noticeReceived("nobody's");
        assertBreaches(Rule.WRONG_DESTINATION, Rule.UNKNOWN_MESSAGE);
    }

    /** Messages that were delivered were sent again, or reported as failed. */
    @Test
    void callsAndNoticesAfterTheEndAreBreaches() {
        Ledger.Message message = acceptedMessage();
        ledger.messageDelivered(message, nowMs);
        nowMs += 300;
        ledger.callReceived(message, DESTINATION, Double.POSITIVE_INFINITY);
        ledger.noticeReceived(message.id);
        assertBreaches();
        nowMs++;
        ledger.callReceived(message, DESTINATION, Double.POSITIVE_INFINITY);
        ledger.noticeReceived(acceptedMessage("other", "other", MessageClass.PAYMENT).id);
        assertBreaches(Rule.SENT_AFTER_END);
    }

    @Test
    void noticeAfterTheEndIsABreach() {
        Ledger.Message message = acceptedMessage();
        ledger.messageDelivered(message, nowMs);
        nowMs += 301;
        ledger.noticeReceived(message.id);
        ledger.noticeReceived(message.id);
        assertBreaches(Rule.REPORTED_AFTER_END);
    }

    @Test
    void processThatExitsSoonAfterTheEndMayNotHaveReadIt() {
        Ledger.Message message = acceptedMessage();
        ledger.messageDelivered(message, nowMs);
        nowMs += 499;
        ledger.senderExited(SENDER);
        nowMs += 1000;
        ledger.callReceived(message, DESTINATION, Double.POSITIVE_INFINITY);
        assertBreaches();
        ledger.senderExited(SENDER);
        ledger.callReceived(message, DESTINATION, Double.POSITIVE_INFINITY);
        assertBreaches(Rule.SENT_AFTER_END);
    }

    /** A message was reported after a response that its process had not lived to read. */
    @Test
    void processThatExitsBeforeTheResponseCantReadIt() {
        Ledger.Message message = acceptedMessage();
        double callReceivedAtMs = nowMs;
        nowMs += 10;
        ledger.senderExited(SENDER);
        nowMs += 10;
        ledger.messageDelivered(message, callReceivedAtMs);
        nowMs += 2000;
        ledger.noticeReceived(message.id);
        assertBreaches();
    }
}
