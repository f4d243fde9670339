package loadbalancer.logs;

import org.slf4j.Logger;
import org.slf4j.event.Level;
import org.slf4j.spi.LoggingEventBuilder;

/** Where a part of the balancer says what operators should know: a line that reads by itself, and its figures. */
@FunctionalInterface
public interface Log {
    /** Says a line. */
    void accept(String line);

    /** Says a line that reads by itself, with what it is about as names and values in turn, for machines. */
    default void event(String line, Object... fields) {
        accept(line);
    }

    /** The same for what somebody should look at. */
    default void warn(String line, Object... fields) {
        accept(line);
    }

    /** Says all to that logger. */
    static Log to(Logger logger) {
        return new Log() {
            @Override
            public void accept(String line) {
                logger.info(line);
            }

            @Override
            public void event(String line, Object... fields) {
                say(Level.INFO, line, fields);
            }

            @Override
            public void warn(String line, Object... fields) {
                say(Level.WARN, line, fields);
            }

            private void say(Level level, String line, Object... fields) {
                LoggingEventBuilder event = logger.atLevel(level);
                for (int i = 0; i + 1 < fields.length; i += 2) {
                    event = event.addKeyValue(String.valueOf(fields[i]), fields[i + 1]);
                }
                event.log(line);
            }
        };
    }
}
