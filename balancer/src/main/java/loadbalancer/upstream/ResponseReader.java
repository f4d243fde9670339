package loadbalancer.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import loadbalancer.http.BodyStream;
import loadbalancer.http.RequestValidator;

/**
 * Reads the answers on one connection to an upstream, one for each request, and trusts nothing that comes:
 * an answer that can't be read for certain is none, and what nobody asked for spoils the connection.
 */
public final class ResponseReader extends SimpleChannelInboundHandler<HttpObject> {
    private static final int HEAD_MOST = 8 * 1024;
    private static final long PATIENCE_MS = 20; // for the rest of an answer of unknown length
    private static final int HINTS_MOST = 8; // 1xx answers ahead of one

    /** An upstream's answer: whole, or, where {@code rest} is not null, begun. */
    public record Answer(int status, HttpHeaders headers, byte[] body, BodyStream rest) {
        public String type() {
            return headers.get(HttpHeaderNames.CONTENT_TYPE);
        }
    }

    /** Whom it tells, once for each request. */
    public interface Taker {
        /** {@code usable}: the connection may carry another request. */
        void answered(Answer answer, boolean usable);

        /** Nothing more can be read here. */
        void spoilt();

        /** Whether an answer may be passed on before it is whole. */
        boolean streams();

        /** An answer has begun that is too large to be held; the rest of it flows. */
        void begun(Answer answer);

        /** The last byte of what has begun has come. */
        void ended(boolean usable);
    }

    private final Taker taker;
    private final Decoder decoder = new Decoder();
    private boolean expecting; // a request has been sent whose answer hasn't been told
    private boolean spoilt;
    private boolean broken; // the connection did not end in order
    private HttpResponse head;
    private byte[] body;
    private int length;
    private int hints;
    private boolean hint; // within a 1xx answer
    private Answer whole; // told at the end of the read
    private long declared; // -1: not known beforehand
    private boolean untilClose; // the end of the connection ends the answer
    private BodyStream flow; // of the answer that is being passed on
    private boolean flown; // all of it has come
    private Future<?> patience;

    public ResponseReader(Taker taker) {
        this.taker = taker;
    }

    public ChannelHandler decoder() {
        return decoder;
    }

    /** A request is about to be sent. */
    public void expect() {
        expecting = true;
        hints = 0;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
        if (spoilt) {
            return;
        }
        if (whole != null || flown || !part.decoderResult().isSuccess()) {
            spoil(); // a second answer, or one that can't be read
            return;
        }
        if (part instanceof HttpResponse answer) {
            begin(answer);
        }
        if (!spoilt && part instanceof HttpContent content) {
            boolean last = part instanceof LastHttpContent;
            if (hint) {
                hint = !last; // the answer itself is still to come
            } else {
                take(context, content.content(), last);
            }
        }
    }

    private void take(ChannelHandlerContext context, ByteBuf more, boolean last) {
        if (flow != null) {
            length += more.readableBytes();
            if (length > RequestValidator.FLOW_MOST || untilClose && last && broken) {
                spoil();
            } else {
                flow.add(more.retain());
                flown = last;
            }
            return;
        }
        boolean flows = head.status().code() == 200 && taker.streams();
        if (flows
                && !last
                && (declared > RequestValidator.BODY_MOST && more.isReadable()
                        || length + more.readableBytes() > RequestValidator.BODY_MOST)) {
            begin(context, more);
        } else if (add(more) && last) {
            if (untilClose && broken) {
                spoil();
                return;
            }
            whole = new Answer(
                    head.status().code(),
                    head.headers(),
                    body.length == length ? body : Arrays.copyOf(body, length),
                    null);
            calm();
        } else if (!spoilt && flows && declared < 0 && length > 0 && patience == null) {
            patience = context.executor()
                    .schedule(
                            () -> {
                                if (flow == null && whole == null && !spoilt) {
                                    begin(context, Unpooled.EMPTY_BUFFER);
                                }
                            },
                            PATIENCE_MS,
                            TimeUnit.MILLISECONDS);
        }
    }

    private void begin(ChannelHandlerContext context, ByteBuf more) {
        calm();
        flow = new BodyStream(context.channel(), declared);
        if (length > 0) {
            flow.add(Unpooled.wrappedBuffer(body, 0, length));
        }
        length += more.readableBytes();
        if (more.isReadable()) {
            flow.add(more.retain());
        }
        body = null;
        taker.begun(new Answer(head.status().code(), head.headers(), new byte[0], flow));
    }

    private void calm() {
        if (patience != null) {
            patience.cancel(false);
            patience = null;
        }
    }

    private void begin(HttpResponse answer) {
        if (answer.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            hint = true;
            if (++hints > HINTS_MOST || answer.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
                spoil();
            }
            return;
        }
        head = answer;
        body = new byte[0];
        length = 0;
        List<String> codings = answer.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean chunked = codings.size() == 1 && codings.get(0).strip().equalsIgnoreCase("chunked");
        // One whose end shows only in the end of the connection is taken where it says so itself, and where
        // that end is in order; without the word it can't be told from one cut short.
        declared = codings.isEmpty() ? HttpUtil.getContentLength(answer, -1L) : -1;
        untilClose = codings.isEmpty() && declared < 0;
        boolean ends = codings.isEmpty() ? declared >= 0 || !HttpUtil.isKeepAlive(answer) : chunked;
        boolean flows = answer.status().code() == 200 && taker.streams();
        if (!ends || declared > (flows ? RequestValidator.FLOW_MOST : RequestValidator.BODY_MOST)) {
            spoil();
        }
    }

    // Guards against answers that say or bring more than is ever held: no memory grows by them.
    private boolean add(ByteBuf more) {
        int bytes = more.readableBytes();
        if (length + bytes > RequestValidator.BODY_MOST) {
            spoil();
            return false;
        }
        if (length == 0) {
            body = ByteBufUtil.getBytes(more);
        } else if (bytes > 0) {
            if (length + bytes > body.length) {
                body = Arrays.copyOf(body, Math.min(RequestValidator.BODY_MOST, 2 * (length + bytes)));
            }
            more.readBytes(body, length, bytes);
        }
        length += bytes;
        return true;
    }

    // Only at the end of a read is it known whether anything came behind the answer. Guards against a second
    // copy right behind: with the connection in use again at once, it was taken for the next one's answer.
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (flown && !spoilt) {
            boolean usable = !decoder.leftOver() && HttpUtil.isKeepAlive(head) && !untilClose;
            BodyStream all = flow;
            flow = null;
            flown = false;
            expecting = false;
            all.end();
            taker.ended(usable);
        } else if (whole != null) {
            Answer told = whole;
            whole = null;
            expecting = false;
            taker.answered(told, !spoilt && !decoder.leftOver() && HttpUtil.isKeepAlive(head) && !untilClose);
        }
        context.fireChannelReadComplete();
    }

    // The end of the connection may be the end of an answer.
    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        channelReadComplete(context);
        if (flow != null) {
            spoil();
        }
        super.channelInactive(context);
    }

    private void spoil() {
        spoilt = true;
        body = null;
        calm();
        if (flow != null) {
            flow.breakOff();
        }
        if (whole == null) {
            taker.spoilt();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        broken = true;
        spoil();
    }

    private final class Decoder extends HttpResponseDecoder {
        public Decoder() {
            super(new HttpDecoderConfig().setMaxHeaderSize(HEAD_MOST));
        }

        public boolean leftOver() {
            return actualReadableBytes() > 0;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object part) throws Exception {
            if (spoilt || !expecting) {
                ReferenceCountUtil.release(part); // nobody asked
                if (!spoilt) {
                    spoil();
                }
                return;
            }
            super.channelRead(context, part);
        }

        // By itself the decoder drops the length and goes on.
        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
        }

        // By itself the decoder takes the first word of a line without a colon for a name.
        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int size) {
            if (start + size >= line.length || line[start + size] != ':') {
                throw new IllegalArgumentException("a header without a colon");
            }
            return super.splitHeaderName(line, start, size);
        }
    }
}
