package loadbalancer.operator;

import loadbalancer.toml.Section;
import loadbalancer.toml.Units;

/** Reads times that must be over 0. */
final class TimeReader {
    private TimeReader() {}

    /** The time at a key in microseconds; null where it is missing or at fault. */
    static Long positiveMicros(Section section, String key) {
        Double micros = section.quantity(key, Units.TIME);
        if (micros == null) {
            return null;
        }
        if (micros <= 0) {
            section.fault(key, "'" + key + "' is nothing: a time over 0 is wanted");
            return null;
        }
        return Math.round(micros);
    }
}
