package kestreldeal.scale;

import java.util.List;
import java.util.Locale;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * How a cost grows with a size: the exponent of a power law (from a linear regression of the logarithms), and the
 * order of growth that fits best by least squares. Errors are relative to each value; with absolute errors the largest
 * size alone would decide.
 *
 * @param growth the order of growth that fits best
 * @param exponent slope of log cost over log size
 * @param base constant term of the fitted function, at least 0
 * @param factor coefficient of the growth function
 * @param residual root mean square of the relative errors of the fitted function
 */
record Fit(Growth growth, double exponent, double base, double factor, double residual) {
    /** Up to this absolute value of the exponent a cost counts as independent of the size. */
    private static final double CONSTANT_EXPONENT_LIMIT = 0.1;
    /** Among orders of growth whose residuals differ by no more than this, the slowest growth is chosen. */
    private static final double RESIDUAL_TOLERANCE = 0.01;

    /** Orders of growth; the text of each appears in results. */
    enum Growth {
        /** Does not depend on the size. */
        CONSTANT("constant", "", n -> 0),
        /** Logarithmic. */
        LOG_N("grows as log n", "log2 n", n -> Math.log(n) / Math.log(2)),
        /** Linear. */
        LINEAR("grows as n", "n", n -> n),
        /** Linearithmic. */
        N_LOG_N("grows as n log n", "n log2 n", n -> n * Math.log(n) / Math.log(2)),
        /** Quadratic. */
        SQUARE("grows as n squared", "n^2", n -> n * n),
        /** Decreasing: no real cost behaves so, and the measurement should be checked. */
        FALLS("falls", "", n -> 0);

        private final String description;
        private final String formula;
        private final DoubleUnaryOperator function;

        Growth(String description, String formula, DoubleUnaryOperator function) {
            this.description = description;
            this.formula = formula;
            this.function = function;
        }

        @Override
        public String toString() {
            return description;
        }
    }

    /**
     * Fits costs to sizes.
     *
     * @throws IllegalArgumentException if there are fewer than two different sizes, not one cost for each size, or a
     *     size or cost that is not above 0
     */
    static Fit of(List<Double> sizes, List<Double> costs) {
        boolean positive = Stream.concat(sizes.stream(), costs.stream()).allMatch(value -> value > 0);
        if (sizes.size() != costs.size() || sizes.stream().distinct().count() < 2 || !positive) {
            throw new IllegalArgumentException("a fit needs at least two different sizes, and sizes and costs above 0");
        }
        double exponent = fitExponent(sizes, costs);
        if (Math.abs(exponent) <= CONSTANT_EXPONENT_LIMIT) {
            return fitOrder(Growth.CONSTANT, exponent, sizes, costs);
        }
        if (exponent < 0) {
            return fitOrder(Growth.FALLS, exponent, sizes, costs);
        }
        List<Fit> candidates = Stream.of(Growth.LOG_N, Growth.LINEAR, Growth.N_LOG_N, Growth.SQUARE)
                .map(growth -> fitOrder(growth, exponent, sizes, costs)).toList();
        double minResidual = candidates.stream().mapToDouble(Fit::residual).min().orElseThrow();
        return candidates.stream().filter(fit -> fit.residual() <= minResidual + RESIDUAL_TOLERANCE).findFirst()
                .orElseThrow();
    }

    /** Describes the fit, for example {@code grows as n: 12.1 + 0.043 x n (exponent 1.02, residual 3%)}. */
    String describe() {
        String formula = growth.formula.isEmpty() ? ResultWriter.formatNumber(base)
                : ResultWriter.formatNumber(base) + " + " + String.format(Locale.ROOT, "%.3g", factor) + " x "
                + growth.formula;
        // Rounded first, because a tiny negative exponent would be printed as -0.00.
        double rounded = Math.round(100 * exponent) / 100.0;
        return String.format(Locale.ROOT, "%s: %s (exponent %.2f, residual %.0f%%)", growth, formula, rounded,
                100 * residual);
    }

    private static double fitExponent(List<Double> sizes, List<Double> costs) {
        double[] x = sizes.stream().mapToDouble(Math::log).toArray();
        double[] y = costs.stream().mapToDouble(Math::log).toArray();
        double meanX = IntStream.range(0, x.length).mapToDouble(i -> x[i]).average().orElseThrow();
        double meanY = IntStream.range(0, y.length).mapToDouble(i -> y[i]).average().orElseThrow();
        double sumXY = IntStream.range(0, x.length).mapToDouble(i -> (x[i] - meanX) * (y[i] - meanY)).sum();
        double sumXX = IntStream.range(0, x.length).mapToDouble(i -> (x[i] - meanX) * (x[i] - meanX)).sum();
        return sumXY / sumXX;
    }

    /**
     * Fits base and factor for one order of growth by weighted least squares (the normal equations of a line), with
     * the inverse of each cost as its weight. A negative base has no meaning: the fit is then repeated without one.
     */
    private static Fit fitOrder(Growth growth, double exponent, List<Double> sizes, List<Double> costs) {
        double ww = 0;
        double wg = 0;
        double gg = 0;
        double wy = 0;
        double gy = 0;
        for (int i = 0; i < sizes.size(); i++) {
            double weight = 1 / costs.get(i);
            double g = growth.function.applyAsDouble(sizes.get(i)) * weight;
            ww += weight * weight;
            wg += weight * g;
            gg += g * g;
            wy += weight;
            gy += g;
        }
        double determinant = ww * gg - wg * wg;
        boolean noGrowthTerm = gg == 0;
        double base = noGrowthTerm ? wy / ww : (wy * gg - gy * wg) / determinant;
        double factor = noGrowthTerm ? 0 : (gy * ww - wy * wg) / determinant;
        if (base < 0) {
            base = 0;
            factor = gy / gg;
        }
        return new Fit(growth, exponent, base, factor, rmsRelativeError(growth, base, factor, sizes, costs));
    }

    private static double rmsRelativeError(Growth growth, double base, double factor, List<Double> sizes,
            List<Double> costs) {
        double meanSquare = IntStream.range(0, sizes.size()).mapToDouble(i -> {
            double fitted = base + factor * growth.function.applyAsDouble(sizes.get(i));
            double error = (costs.get(i) - fitted) / costs.get(i);
            return error * error;
        }).average().orElseThrow();
        return Math.sqrt(meanSquare);
    }
}
