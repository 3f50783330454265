package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class IdleConnectionPolicyTest {
    private final IdleConnectionPolicy policy = new IdleConnectionPolicy();

    private void recordUses(long idleMs, int intact, int lost) {
        for (int i = 0; i < intact + lost; i++) {
            policy.recordUse(0, idleMs, i < lost);
        }
    }

    @Test
    void idleTimesWithAHighLossRateAreAvoided() {
        recordUses(-1, 94, 6);
        recordUses(30, 94, 6);
        recordUses(300, 5, 5);
        assertTrue(policy.mayReuse(0, 30));
        assertTrue(policy.mayReuse(0, 200));
        assertFalse(policy.mayReuse(0, 300));
        assertFalse(policy.mayReuse(0, 5000));
    }

    @Test
    void fewLossesAreTolerated() {
        recordUses(300, 0, 2);
        assertTrue(policy.mayReuse(0, 300));
        recordUses(300, 20, 2);
        assertTrue(policy.mayReuse(0, 300));
    }

    @Test
    void lossesThatAffectFreshConnectionsAlikeAreTolerated() {
        recordUses(-1, 7, 3);
        recordUses(300, 7, 4);
        assertTrue(policy.mayReuse(0, 300));
    }

    @Test
    void lossesAreForgottenWithTime() {
        recordUses(300, 0, 4);
        assertFalse(policy.mayReuse(9_000, 300));
        assertTrue(policy.mayReuse(10_000, 300));
        assertEquals(true, policy.mayReuse(10_000, Long.MAX_VALUE));
    }
}
