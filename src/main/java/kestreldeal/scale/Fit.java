package kestreldeal.scale;

import java.util.List;
import java.util.Locale;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * How a cost grows with a size: the exponent of a power law (a line through the logarithms), and the standard order of
 * growth that fits best by least squares. Errors count relative to each value, else the largest size alone would decide.
 *
 * @param growth the order of growth that fits best
 * @param exponent slope of log cost over log size
 * @param base what the cost is at size nought by this order of growth, 0 or more
 * @param factor cost for each unit of the growth's function
 * @param residual root mean square of the relative errors that this order leaves
 */
record Fit(Growth growth, double exponent, double base, double factor, double residual) {
    /** A cost whose exponent is this near to 0 does not depend on the size. */
    private static final double FLAT = 0.1;
    /** Residuals so close tell nothing apart: the slower growth is taken. */
    private static final double ALIKE = 0.01;

    /** Orders of growth, in the words of reports. */
    enum Growth {
        /** Does not depend on the size. */
        CONSTANT("constant", "", n -> 0),
        /** By the logarithm of the size. */
        LOG_N("grows as log n", "log2 n", n -> Math.log(n) / Math.log(2)),
        /** In proportion. */
        LINEAR("grows as n", "n", n -> n),
        /** A little more than in proportion. */
        N_LOG_N("grows as n log n", "n log2 n", n -> n * Math.log(n) / Math.log(2)),
        /** By the square. */
        SQUARE("grows as n squared", "n^2", n -> n * n),
        /** Less at a larger size: no cost grows so, and the measurement needs a look. */
        FALLS("falls", "", n -> 0);

        private final String words;
        private final String function;
        private final DoubleUnaryOperator of;

        Growth(String words, String function, DoubleUnaryOperator of) {
            this.words = words;
            this.function = function;
            this.of = of;
        }

        @Override
        public String toString() {
            return words;
        }
    }

    /**
     * Fits costs to sizes.
     *
     * @throws IllegalArgumentException with less than two sizes, or where one of them or a cost is not above 0
     */
    static Fit of(List<Double> sizes, List<Double> costs) {
        boolean positive = Stream.concat(sizes.stream(), costs.stream()).allMatch(value -> value > 0);
        if (sizes.size() != costs.size() || sizes.stream().distinct().count() < 2 || !positive) {
            throw new IllegalArgumentException("a fit needs two sizes and costs above 0");
        }
        double exponent = exponent(sizes, costs);
        if (Math.abs(exponent) <= FLAT) {
            return order(Growth.CONSTANT, exponent, sizes, costs);
        }
        if (exponent < 0) {
            return order(Growth.FALLS, exponent, sizes, costs);
        }
        List<Fit> all = Stream.of(Growth.LOG_N, Growth.LINEAR, Growth.N_LOG_N, Growth.SQUARE)
                .map(growth -> order(growth, exponent, sizes, costs)).toList();
        double best = all.stream().mapToDouble(Fit::residual).min().orElseThrow();
        return all.stream().filter(fit -> fit.residual() <= best + ALIKE).findFirst().orElseThrow();
    }

    /** The whole in words, as in {@code grows as n: 12.1 + 0.043 x n (exponent 1.02, residual 3%)}. */
    String words() {
        String law = growth.function.isEmpty() ? Results.number(base)
                : Results.number(base) + " + " + String.format(Locale.ROOT, "%.3g", factor) + " x " + growth.function;
        // Rounded first, lest a trace under nought show as -0.00.
        double rounded = Math.round(100 * exponent) / 100.0;
        return String.format(Locale.ROOT, "%s: %s (exponent %.2f, residual %.0f%%)", growth, law, rounded,
                100 * residual);
    }

    private static double exponent(List<Double> sizes, List<Double> costs) {
        double[] x = sizes.stream().mapToDouble(Math::log).toArray();
        double[] y = costs.stream().mapToDouble(Math::log).toArray();
        double meanX = IntStream.range(0, x.length).mapToDouble(i -> x[i]).average().orElseThrow();
        double meanY = IntStream.range(0, y.length).mapToDouble(i -> y[i]).average().orElseThrow();
        double both = IntStream.range(0, x.length).mapToDouble(i -> (x[i] - meanX) * (y[i] - meanY)).sum();
        double square = IntStream.range(0, x.length).mapToDouble(i -> (x[i] - meanX) * (x[i] - meanX)).sum();
        return both / square;
    }

    /**
     * Base and factor for one order of growth, each error weighted by the cost: the normal equations of a line. A base
     * under 0 has no meaning and is left out.
     */
    private static Fit order(Growth growth, double exponent, List<Double> sizes, List<Double> costs) {
        double ww = 0;
        double wg = 0;
        double gg = 0;
        double wy = 0;
        double gy = 0;
        for (int i = 0; i < sizes.size(); i++) {
            double weight = 1 / costs.get(i);
            double g = growth.of.applyAsDouble(sizes.get(i)) * weight;
            ww += weight * weight;
            wg += weight * g;
            gg += g * g;
            wy += weight;
            gy += g;
        }
        double determinant = ww * gg - wg * wg;
        boolean flat = gg == 0;
        double base = flat ? wy / ww : (wy * gg - gy * wg) / determinant;
        double factor = flat ? 0 : (gy * ww - wy * wg) / determinant;
        if (base < 0) {
            base = 0;
            factor = gy / gg;
        }
        return new Fit(growth, exponent, base, factor, residual(growth, base, factor, sizes, costs));
    }

    private static double residual(Growth growth, double base, double factor, List<Double> sizes,
            List<Double> costs) {
        double mean = IntStream.range(0, sizes.size()).mapToDouble(i -> {
            double fitted = base + factor * growth.of.applyAsDouble(sizes.get(i));
            double error = (costs.get(i) - fitted) / costs.get(i);
            return error * error;
        }).average().orElseThrow();
        return Math.sqrt(mean);
    }
}
