package loadbalancer.logs;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.slf4j.event.KeyValuePair;
import org.slf4j.event.Level;

/**
 * A line of the log.
 *
 * @param atMillis since the epoch
 * @param fields figures for machines, which lines of text leave out
 * @param thrown null where there is none
 */
record LogLine(long atMillis, Level level, String message, List<KeyValuePair> fields, Throwable thrown) {
    /** The line as text, without its end. */
    String toText(String prefix) {
        return prefix + message + (thrown == null ? "" : ": " + thrown);
    }

    /** The line as a JSON object, without its end. */
    String toJson() throws IOException {
        Map<String, Object> object = new LinkedHashMap<>();
        object.put("at", Instant.ofEpochMilli(atMillis).toString());
        object.put("level", level.name().toLowerCase(Locale.ROOT));
        object.put("message", message);
        for (KeyValuePair field : fields) {
            boolean plain = field.value instanceof Number || field.value instanceof Boolean;
            object.put(field.key, plain ? field.value : String.valueOf(field.value));
        }
        if (thrown != null) {
            object.put("thrown", String.valueOf(thrown));
        }
        return JSON.std.asString(object);
    }
}
