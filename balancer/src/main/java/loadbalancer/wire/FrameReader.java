package loadbalancer.wire;

import java.io.BufferedReader;
import java.io.IOException;

/** Reads frames, one per line, and counts lines for error messages. Not thread-safe. */
final class FrameReader {
    private final BufferedReader in;
    private long line;

    FrameReader(BufferedReader in) {
        this.in = in;
    }

    /** Returns the next frame; null if the input has ended. */
    Frame next() throws IOException {
        String text = in.readLine();
        line++;
        return text == null ? null : new Frame(line, text);
    }

    /** Returns the exception for a message that is incomplete at the last line read, or at the end of input. */
    WireException error(String message, String field, String problem) {
        return WireException.at(line, message, field, problem);
    }
}
