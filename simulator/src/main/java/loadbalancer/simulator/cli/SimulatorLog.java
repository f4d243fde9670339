package loadbalancer.simulator.cli;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The simulator's log, on standard error: plain lines, or JSON lines on request. */
final class SimulatorLog {
    private SimulatorLog() {}

    static Logger of(Class<?> type) {
        return LoggerFactory.getLogger(type);
    }

    /** Sets the form of the lines; called once, before anything is logged. */
    static void form(boolean json) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        Encoder<ILoggingEvent> encoder;
        if (json) {
            encoder = new JsonEncoder();
        } else {
            PatternLayoutEncoder plain = new PatternLayoutEncoder();
            plain.setPattern("simulator: %msg%n");
            encoder = plain;
        }
        encoder.setContext(context);
        encoder.start();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setTarget("System.err");
        appender.setEncoder(encoder);
        appender.start();
        ch.qos.logback.classic.Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        root.setLevel(ch.qos.logback.classic.Level.INFO);
        root.addAppender(appender);
    }
}
