package loadbalancer.logs;

import org.slf4j.Logger;
import org.slf4j.event.Level;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Logs what operators should know: a line that is understandable on its own, and optionally its values as fields for
 * tools. Thread-safe, and never blocks.
 */
@FunctionalInterface
public interface Log {
    /** Logs a line at level INFO. */
    void info(String line);

    /**
     * Logs a line with fields at level INFO.
     *
     * @param fields alternating names and values
     */
    default void info(String line, Object... fields) {
        info(line);
    }

    /**
     * Logs a line with fields at level WARN, for what an operator should look at.
     *
     * @param fields alternating names and values
     */
    default void warn(String line, Object... fields) {
        info(line);
    }

    /** Returns a log that writes to an SLF4J logger, with the fields as key-value pairs. */
    static Log to(Logger logger) {
        return new Log() {
            @Override
            public void info(String line) {
                logger.info(line);
            }

            @Override
            public void info(String line, Object... fields) {
                log(Level.INFO, line, fields);
            }

            @Override
            public void warn(String line, Object... fields) {
                log(Level.WARN, line, fields);
            }

            private void log(Level level, String line, Object... fields) {
                LoggingEventBuilder event = logger.atLevel(level);
                for (int i = 0; i + 1 < fields.length; i += 2) {
                    event = event.addKeyValue(String.valueOf(fields[i]), fields[i + 1]);
                }
                event.log(line);
            }
        };
    }
}
