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
 * @param atMillis when it was logged, in milliseconds since the epoch
 * @param fields values for tools, which the text format omits
 * @param thrown the exception to log; null for none
 */
record LogLine(long atMillis, Level level, String message, List<KeyValuePair> fields, Throwable thrown) {
    /** Returns the line as text, without a line end. */
    String toText(String prefix) {
        return prefix + message + (thrown == null ? "" : ": " + thrown);
    }

    /** Returns the line as a JSON object, without a line end. */
    String toJson() throws IOException {
        Map<String, Object> object = new LinkedHashMap<>();
        object.put("at", Instant.ofEpochMilli(atMillis).toString());
        object.put("level", level.name().toLowerCase(Locale.ROOT));
        object.put("message", message);
        for (KeyValuePair field : fields) {
            boolean numberOrBoolean = field.value instanceof Number || field.value instanceof Boolean;
            object.put(field.key, numberOrBoolean ? field.value : String.valueOf(field.value));
        }
        if (thrown != null) {
            object.put("thrown", String.valueOf(thrown));
        }
        return JSON.std.asString(object);
    }
}
