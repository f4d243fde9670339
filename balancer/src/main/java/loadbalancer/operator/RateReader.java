package loadbalancer.operator;

import loadbalancer.limits.RateLimit;
import loadbalancer.toml.Measure;
import loadbalancer.toml.Section;
import loadbalancer.toml.Units;

/** Reads rates: {@code rate}, {@code burst} and {@code ceiling}. */
final class RateReader {
    private static final double MAX_PER_SECOND = 1e9;
    private static final RateLimit PLACEHOLDER = new RateLimit(1, 1, 1); // in place of an invalid rate

    private RateReader() {}

    static RateLimit read(Section section) {
        Double perSecond = section.quantity("rate", Units.RATE);
        if (perSecond == null && !section.has("rate")) {
            section.fault("rate", "'rate' is missing: expected a rate with its unit, such as \"200/s\"");
        }
        double defaultBurst = Math.ceil(perSecond == null ? 1 : Math.max(1, perSecond));
        double burst = section.number("burst", Measure.COUNT, defaultBurst);
        Double ceiling = section.has("ceiling") ? section.quantity("ceiling", Units.RATE) : perSecond;
        checkRange(section, perSecond, ceiling);
        section.rejectUnknownKeys();
        if (perSecond == null || ceiling == null || ceiling < perSecond || burst < 1) {
            return PLACEHOLDER;
        }
        return new RateLimit(perSecond, burst, ceiling);
    }

    private static void checkRange(Section section, Double perSecond, Double ceiling) {
        if (perSecond != null && ceiling != null && ceiling < perSecond) {
            section.fault(
                    "ceiling",
                    "'ceiling' is " + Units.RATE.format(ceiling) + ": expected at least 'rate', "
                            + Units.RATE.format(perSecond));
        }
        if (perSecond != null && perSecond > MAX_PER_SECOND) {
            section.fault("rate", "'rate' is over the maximum, " + Units.RATE.format(MAX_PER_SECOND));
        }
    }
}
