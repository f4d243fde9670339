package loadbalancer.logs;

import org.slf4j.Logger;
import org.slf4j.event.Level;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Where a part of the balancer logs what operators should know: a line that reads by itself, and its figures as fields
 * for machines. Any thread may call it; it never blocks.
 */
@FunctionalInterface
public interface Log {
    /** Logs a line. */
    void info(String line);

    /**
     * Logs a line with fields.
     *
     * @param fields names and values in turn
     */
    default void info(String line, Object... fields) {
        info(line);
    }

    /**
     * Logs a line that an operator should look at.
     *
     * @param fields names and values in turn
     */
    default void warn(String line, Object... fields) {
        info(line);
    }

    /** Logs to an SLF4J logger, with the fields as its key-value pairs. */
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
