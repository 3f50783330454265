package kestreldeal.scale.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import kestreldeal.scale.soak.Ledger.Rule;
import kestreldeal.scale.soak.SoakSettings.MessageClass;
import org.junit.jupiter.api.Test;

/** Each rule that the soak judges, broken and kept. */
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
        public double lateMs() {
            return 0;
        }
    });

    LedgerTest() {
        ledger.ready(SENDER);
    }

    private Ledger.Message taken(String id, String key, MessageClass type) {
        Ledger.Message message = new Ledger.Message(id, key, type, DESTINATION, SENDER, nowMs, type.deadlineMs);
        ledger.handedIn(message);
        ledger.taken(message);
        return message;
    }

    private Ledger.Message taken() {
        return taken("id", "key", MessageClass.ORDER);
    }

    private void assertBroken(Rule... rules) {
        assertEquals(List.of(rules), ledger.breaches().stream().map(Ledger.Breach::rule).toList());
    }

    @Test
    void aMessageWithoutAnEndIsLostOnceItsTimeAndTheGraceAreUp() {
        taken();
        nowMs += MessageClass.ORDER.deadlineMs + 350;
        assertFalse(ledger.judge());
        assertBroken();
        nowMs++;
        assertTrue(ledger.judge());
        assertBroken(Rule.LOST);
    }

    @Test
    void deliveredAndNoticedOnesAreNotLostNorThoseThatWereNotTaken() {
        ledger.delivered(taken("a", "a", MessageClass.ORDER));
        taken("b", "b", MessageClass.ORDER);
        ledger.noticed("b");
        ledger.handedIn(new Ledger.Message("c", "c", MessageClass.ORDER, DESTINATION, SENDER, nowMs, 1000));
        nowMs += 60_000;
        assertTrue(ledger.judge());
        assertBroken();
    }

    @Test
    void noEndIsOverdueWhileItsSenderIsAwayAndJustBack() {
        taken();
        ledger.ends(SENDER);
        nowMs += 60_000;
        assertFalse(ledger.judge());
        ledger.ready(SENDER);
        nowMs += 1550;
        assertFalse(ledger.judge());
        assertBroken();
        nowMs++;
        ledger.judge();
        assertBroken(Rule.LOST);
    }

    @Test
    void whatMustNotRunTwiceRunsOnceForItsKey() {
        ledger.ran(taken("a", "key", MessageClass.PAYMENT));
        ledger.ran(taken("b", "other", MessageClass.PAYMENT));
        assertBroken();
        ledger.ran(taken("c", "key", MessageClass.PAYMENT));
        assertBroken(Rule.RAN_TWICE);
    }

    @Test
    void aRepeatRunsInsideTheWindowOfTheFirst() {
        Ledger.Message message = taken();
        ledger.ran(message);
        nowMs += MessageClass.ORDER.windowMs + 50;
        ledger.ran(message);
        assertBroken();
        nowMs++;
        ledger.ran(message);
        assertBroken(Rule.REPEATED_PAST_ITS_WINDOW);
    }

    @Test
    void nothingNewComesLaterThanTheGraceOfADrain() {
        Ledger.Message message = taken();
        ledger.called(message, DESTINATION, nowMs - 1050);
        ledger.called(message, DESTINATION, Double.POSITIVE_INFINITY);
        assertBroken();
        ledger.called(message, DESTINATION, nowMs - 1051);
        assertBroken(Rule.SENT_AFTER_DRAIN);
    }

    @Test
    void aToldWaitIsKeptUntilItsEndOrARestart() {
        Ledger.Message message = taken();
        ledger.waitTold(SENDER, DESTINATION, 1000);
        nowMs += 300;
        ledger.called(message, DESTINATION, Double.POSITIVE_INFINITY);
        assertBroken();
        nowMs++;
        ledger.called(message, DESTINATION, Double.POSITIVE_INFINITY);
        assertBroken(Rule.SENT_IN_A_WAIT);
        ledger.gone(SENDER);
        ledger.called(message, DESTINATION, Double.POSITIVE_INFINITY);
        assertBroken(Rule.SENT_IN_A_WAIT);
    }

    @Test
    void aWaitIsOverAtItsEnd() {
        Ledger.Message message = taken();
        ledger.waitTold(SENDER, DESTINATION, 1000);
        nowMs += 1000;
        ledger.called(message, DESTINATION, Double.POSITIVE_INFINITY);
        assertBroken();
    }

    @Test
    void aMessageGoesToItsOwnDestinationAndNoticesAreOfKnownMessages() {
        ledger.called(taken(), DESTINATION + 1, Double.POSITIVE_INFINITY);
        ledger.noticed("nobody's");
        assertBroken(Rule.WRONG_DESTINATION, Rule.UNKNOWN_MESSAGE);
    }
}
