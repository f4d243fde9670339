package loadbalancer.operator;

import loadbalancer.toml.Section;
import loadbalancer.toml.Units;

/** Reads times that must be over 0. */
final class TimeReader {
    private TimeReader() {}

    /** Returns the time at a key in microseconds; null if it is missing or invalid. */
    static Long positiveMicros(Section section, String key) {
        Double micros = section.quantity(key, Units.TIME);
        if (micros == null) {
            return null;
        }
        if (micros <= 0) {
            section.fault(key, "'" + key + "' is 0: expected a time over 0");
            return null;
        }
        return Math.round(micros);
    }
}
