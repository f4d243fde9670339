package loadbalancer.wire;

import java.io.BufferedReader;
import java.io.IOException;

/** Reads frames, one a line, and counts lines for the messages of errors. One thread. */
final class FrameReader {
    private final BufferedReader in;
    private long line;

    FrameReader(BufferedReader in) {
        this.in = in;
    }

    /** The next frame; null where the input has ended. */
    Frame next() throws IOException {
        String text = in.readLine();
        line++;
        return text == null ? null : new Frame(line, text);
    }

    /** The exception for a message that the line last read, or the end of input, cuts short. */
    WireException error(String message, String field, String problem) {
        return WireException.at(line, message, field, problem);
    }
}
