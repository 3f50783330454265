package kestreldeal.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.DoubleUnaryOperator;
import org.junit.jupiter.api.Test;

class FitTest {
    private static final List<Double> SIZES = List.of(1e3, 3e3, 1e4, 3e4, 1e5);

    private static Fit fit(DoubleUnaryOperator cost) {
        return Fit.of(SIZES, SIZES.stream().map(cost::applyAsDouble).toList());
    }

    @Test
    void eachOrderOfGrowthIsRecognized() {
        assertEquals(Fit.Growth.CONSTANT, fit(n -> 7).growth());
        assertEquals(Fit.Growth.LOG_N, fit(n -> 2 + 3 * Math.log(n)).growth());
        assertEquals(Fit.Growth.LINEAR, fit(n -> 300 + 0.04 * n).growth());
        assertEquals(Fit.Growth.N_LOG_N, fit(n -> n * Math.log(n)).growth());
        assertEquals(Fit.Growth.SQUARE, fit(n -> 5 + 0.001 * n * n).growth());
        assertEquals(Fit.Growth.FALLS, fit(n -> 1e6 / n).growth());
    }

    @Test
    void linearCostsGiveBaseFactorAndNoResidual() {
        Fit fit = fit(n -> 300 + 0.04 * n);
        assertEquals(300, fit.base(), 1e-6);
        assertEquals(0.04, fit.factor(), 1e-9);
        assertEquals(0, fit.residual(), 1e-9);
    }

    @Test
    void theExponentIsThatOfThePowerLaw() {
        assertEquals(1.5, fit(n -> 4 * Math.pow(n, 1.5)).exponent(), 1e-9);
    }

    @Test
    void scatterIncreasesTheResidualAndKeepsTheOrder() {
        List<Double> costs = List.of(1e3 * 1.1, 3e3 * 0.9, 1e4 * 1.1, 3e4 * 0.9, 1e5 * 1.1);
        Fit fit = Fit.of(SIZES, costs);
        assertEquals(Fit.Growth.LINEAR, fit.growth());
        assertTrue(fit.residual() > 0.05 && fit.residual() < 0.15, fit.describe());
    }

    @Test
    void aNegativeBaseIsReplacedByZero() {
        Fit fit = fit(n -> n - 900);
        assertTrue(fit.base() >= 0, fit.describe());
        assertTrue(fit.residual() > 0.01, "the exact fit has a base of -900: " + fit.describe());
    }

    @Test
    void describeHasTheOrderTheFormulaAndTheResidual() {
        assertEquals("grows as n: 300.0 + 0.0400 x n (exponent 0.55, residual 0%)",
                fit(n -> 300 + 0.04 * n).describe());
        assertEquals("constant: 7.000 (exponent 0.00, residual 0%)", fit(n -> 7).describe());
    }

    @Test
    void invalidInputIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> Fit.of(List.of(1.0, 1.0), List.of(1.0, 2.0)));
        assertThrows(IllegalArgumentException.class, () -> Fit.of(List.of(1.0, 2.0), List.of(1.0, 0.0)));
        assertThrows(IllegalArgumentException.class, () -> Fit.of(List.of(1.0, 2.0), List.of(1.0)));
    }
}
