package junctionhead.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Puts JSON objects together from bytes that come in pieces, wherever these and the objects' lines end. What can't
 * be JSON is found out at its first wrong byte, not only when the source falls silent.
 */
final class ListReader {
    private static final int MOST = 4 << 20;        // bytes of one object
    private static final JsonFactory JSON = JsonFactory.builder().streamReadConstraints(StreamReadConstraints.builder()
        .maxNestingDepth(16).maxStringLength(1 << 16).build()).build();

    private final JsonParser parser;
    private final ByteArrayFeeder feeder;
    private final Deque<Object> open = new ArrayDeque<>();      // maps and lists that have begun, the innermost first
    private final Deque<String> names = new ArrayDeque<>();     // of what comes next in each open map
    private int length;                             // of the object that is coming in

    ListReader() {
        try {
            parser = JSON.createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    }

    /** Whether part of an object has come. */
    boolean within() {
        return !open.isEmpty();
    }

    /**
     * Reads on; {@code whole} gets each object that ends here.
     *
     * @throws IllegalArgumentException where it isn't JSON, or isn't an object, or is longer than any list
     */
    void read(byte[] bytes, Consumer<Map<?, ?>> whole) {
        try {
            length += bytes.length;
            feeder.feedInput(bytes, 0, bytes.length);
            for (JsonToken t = parser.nextToken(); t != JsonToken.NOT_AVAILABLE; t = parser.nextToken()) {
                take(t, whole);
            }
        } catch (IOException e) {
            throw new IllegalArgumentException("not JSON");
        }
        if (open.isEmpty()) {
            length = 0;
        } else if (length > MOST) {
            throw new IllegalArgumentException("a list of over " + MOST + " bytes");
        }
    }

    private void take(JsonToken token, Consumer<Map<?, ?>> whole) throws IOException {
        if (open.isEmpty() && token != JsonToken.START_OBJECT) {
            throw new IllegalArgumentException("not an object: " + parser.getText());
        }
        switch (token) {
            case START_OBJECT -> {
                open.push(new LinkedHashMap<String, Object>());
            }
            case START_ARRAY -> {
                open.push(new ArrayList<>());
            }
            case FIELD_NAME -> {
                names.push(parser.currentName());
            }
            case END_OBJECT, END_ARRAY -> {
                Object ended = open.pop();
                if (open.isEmpty()) {
                    whole.accept((Map<?, ?>) ended);
                } else {
                    add(ended);
                }
            }
            case VALUE_STRING -> {
                add(parser.getText());
            }
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> {
                add(parser.getNumberValue());
            }
            case VALUE_TRUE, VALUE_FALSE -> {
                add(token == JsonToken.VALUE_TRUE);
            }
            default -> {
                add(null);
            }
        }
    }

    @SuppressWarnings("unchecked")
    private void add(Object value) {
        if (open.peek() instanceof List<?> list) {
            ((List<Object>) list).add(value);
        } else {
            ((Map<String, Object>) open.peek()).put(names.pop(), value);
        }
    }
}
