package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class IdleConnectionPolicyTest {
    private final IdleConnectionPolicy trust = new IdleConnectionPolicy();

    private void use(long idleMs, int held, int lost) {
        for (int i = 0; i < held + lost; i++) {
            trust.used(0, idleMs, i < lost);
        }
    }

    @Test
    void whatIdledAsLongAsThoseThatWereLostIsNotTrusted() {
        use(-1, 94, 6);
        use(30, 94, 6);
        use(300, 5, 5);
        assertTrue(trust.trusts(0, 30));
        assertTrue(trust.trusts(0, 200));
        assertFalse(trust.trusts(0, 300));
        assertFalse(trust.trusts(0, 5000));
    }

    @Test
    void aFewLossesAmongManyUsesAreNoSign() {
        use(300, 0, 2);
        assertTrue(trust.trusts(0, 300));
        use(300, 20, 2);
        assertTrue(trust.trusts(0, 300));
    }

    @Test
    void lossesThatStrikeFreshConnectionsAlikeAreNoSign() {
        use(-1, 7, 3);
        use(300, 7, 4);
        assertTrue(trust.trusts(0, 300));
    }

    @Test
    void trustComesBackWithTime() {
        use(300, 0, 4);
        assertFalse(trust.trusts(9_000, 300));
        assertTrue(trust.trusts(10_000, 300));
        assertEquals(true, trust.trusts(10_000, Long.MAX_VALUE));
    }
}
