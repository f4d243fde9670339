package loadbalancer.wire;

import java.util.HashMap;
import java.util.Map;
import loadbalancer.settings.BootSettings;
import loadbalancer.settings.SettingsReader;

/** Reads the settings of a new balancer from the path=value pairs of an ENLIST message. */
final class WireSettings {
    private WireSettings() {}

    /** Reads the pairs in the fields from {@code firstPair} on. */
    static BootSettings read(Frame frame, int firstPair) {
        Map<String, String> values = new HashMap<>();
        for (int i = firstPair; i <= frame.size(); i++) {
            String pair = frame.raw(i, "BootInfo");
            int separator = pair.indexOf('=');
            if (separator <= 0) {
                throw frame.error("BootInfo", "not path=value: '" + pair + "'");
            }
            values.put(pair.substring(0, separator), pair.substring(separator + 1));
        }
        return SettingsReader.read(values, frame::error);
    }
}
