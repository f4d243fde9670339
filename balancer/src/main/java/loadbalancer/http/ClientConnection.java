package loadbalancer.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import loadbalancer.upstream.ResponseReader;

/**
 * One connection of a client: its requests one after the other, each one's answer in turn, and how long it
 * may take over anything.
 */
public final class ClientConnection extends ChannelInboundHandlerAdapter implements RequestReader.Taker {
    // A client is owed an error or a close within 3 s: the look at all clients comes on top of these.
    private static final long RECEIVE = TimeUnit.MILLISECONDS.toNanos(2_400); // a whole request
    private static final long SILENT = TimeUnit.MILLISECONDS.toNanos(2_200); // before the first one
    private static final long REST = TimeUnit.MILLISECONDS.toNanos(5_000); // between two
    private static final long LINGER = TimeUnit.MILLISECONDS.toNanos(1_000); // after the last answer
    private static final long UNREAD = TimeUnit.MILLISECONDS.toNanos(20_000); // answers that don't move
    private static final long PER_BYTE = TimeUnit.SECONDS.toNanos(1) / 32_000; // more time for what has come
    private static final int LINGER_BYTES = 64 * 1024;
    private static final int AHEAD_MOST = 16; // requests that may be sent ahead

    /** {@code sentAt}: the latest that its client can have sent the last byte that was read, by System.nanoTime. */
    private record Taken(HttpRequest head, byte[] body, BodyStream rest, long sentAt) {}

    private final ClientListener server;
    private final Channel channel;
    private final RequestReader requests;
    private final RequestDecoder decoder = new RequestDecoder();
    private final ArrayDeque<Taken> ahead = new ArrayDeque<>();
    private RequestValidator.Problem problem; // the last answer to give, when its turn comes
    private BodyStream answering; // what flows of the request that is being answered
    private Runnable gone; // set while the module owes an answer here
    private int charged; // bytes of the request that is being answered
    private boolean serving; // a request is being answered, or about to be
    private boolean called; // the first one ahead is about to be
    private boolean receiving; // part of a request has come in
    private boolean asked; // a whole request has come in at some time
    private boolean ending; // the last answer has been written
    private long since = System.nanoTime(); // the beginning of the receipt, the rest or the ending
    private long unreadSince = since;
    private long unreadBytes;
    private long received; // bytes of the request that is coming in
    private long readAt;
    private BodyStream upload; // of a body that is being passed on
    private BodyStream download; // of an answer that is being passed on

    public ClientConnection(ClientListener server, Channel channel) {
        this.server = server;
        this.channel = channel;
        this.requests = new RequestReader(this, server.room());
        channel.pipeline().addLast(new Mark(), decoder, new HttpResponseEncoder(), requests, this);
    }

    public boolean asked() {
        return asked;
    }

    /** How long it has been at rest, in ns: nothing is being answered, and nothing has begun to come in. */
    public long restedFor(long now) {
        return serving || receiving || ending || !ahead.isEmpty() ? -1 : now - since;
    }

    /** For how long nothing more has come of a request that is not whole, in ns. */
    public long stuckFor(long now) {
        return receiving
                        && !serving
                        && !ending
                        && upload == null
                        && channel.config().isAutoRead()
                ? now - readAt
                : 0;
    }

    public void close() {
        channel.close();
    }

    /** Whether an answer is being waited for here, or has yet to leave. */
    public boolean owes() {
        ChannelOutboundBuffer leaving = channel.unsafe().outboundBuffer();
        return serving && !ending || leaving != null && leaving.totalPendingWriteBytes() > 0;
    }

    /** Refuses a request that is not whole: it may become so just as the process ends, and would be lost. */
    public void giveUpPart() {
        if (receiving && !serving && upload == null) {
            bad(HttpResponseStatus.SERVICE_UNAVAILABLE, "stopping: trying again is harmless");
        }
    }

    /** Ends what takes too long. Guards against peers that say nothing, or a byte now and then. */
    public void look(long now) {
        if (ending) {
            if (now - since > LINGER) {
                close();
            }
        } else if (upload != null && now - since - upload.pausedFor() > RECEIVE + received * PER_BYTE) {
            if (channel.config().isAutoRead()) {
                close();
            }
        } else if (upload == null
                && receiving
                && channel.config().isAutoRead()
                && now - since > RECEIVE + received * PER_BYTE) {
            bad(HttpResponseStatus.REQUEST_TIMEOUT, "too slow");
        } else if (download != null && download.silentFor(now) > UNREAD) {
            close();
        } else if (restedFor(now) > (asked ? REST : SILENT)) {
            close();
        }
        long unread = channel.bytesBeforeWritable();
        if (unread == 0 || unread != unreadBytes) {
            unreadBytes = unread;
            unreadSince = now; // some has left, if not all
        } else if (now - unreadSince > UNREAD) {
            close();
        }
    }

    public void closed() {
        requests.drop();
        server.room().give(charged);
        charged = 0;
        dropAhead();
        if (answering != null && !answering.taken()) {
            answering.discard();
        }
        if (download != null) {
            download.discard();
            download.source().close();
        }
        Runnable left = gone;
        gone = null;
        if (left != null) {
            left.run();
        }
    }

    // ---------------------------------------------------------------- what comes in

    @Override
    public void begun(HttpRequest head) {
        if (HttpUtil.is100ContinueExpected(head) && !serving) {
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    @Override
    public void flowing(HttpRequest head, BodyStream body) {
        asked = true;
        upload = body;
        ahead.add(new Taken(head, new byte[0], body, sentAt()));
        nextIfRoom();
    }

    @Override
    public void flown() {
        upload = null;
        receiving = false;
        since = System.nanoTime();
    }

    @Override
    public void whole(HttpRequest head, byte[] body) {
        receiving = false;
        asked = true;
        server.room().take(body.length);
        // Whoever sends that many ahead is refused and still read: with reading turned off nobody would notice that
        // the client leaves, and what waits here would be sent on for nobody.
        if (ahead.size() - (called ? 1 : 0) >= AHEAD_MOST) {
            server.room().give(body.length);
            bad(HttpResponseStatus.BAD_REQUEST, "too many requests sent ahead");
        } else {
            ahead.add(new Taken(head, body, null, sentAt()));
            nextIfRoom();
        }
    }

    private void nextIfRoom() {
        if (channel.isWritable()) {
            next();
        }
    }

    @Override
    public void bad(HttpResponseStatus status, String why) {
        receiving = false;
        if (problem == null) {
            readNoMore(status, why);
            if (!serving && ahead.isEmpty()) {
                plain(status, why, false);
            }
        }
    }

    /** Refuses the request that is being served, and with it all that its client sent behind it. */
    public void refuse(HttpResponseStatus status, String why) {
        dropAhead();
        if (problem == null) {
            readNoMore(status, why);
        }
        plain(status, why, false);
    }

    private void dropAhead() {
        while (!ahead.isEmpty()) {
            Taken dropped = ahead.poll();
            server.room().give(dropped.body().length);
            if (dropped.rest() != null) {
                dropped.rest().discard();
            }
        }
    }

    // Guards against hundreds of requests sent at once behind a bad one: they are not even looked at.
    private void readNoMore(HttpResponseStatus status, String why) {
        asked = true;
        requests.drop();
        problem = new RequestValidator.Problem(status, why);
        channel.pipeline().replace(decoder, null, new Drain());
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (download != null) {
            download.roomChanged();
        }
        nextIfRoom();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        close();
    }

    // ---------------------------------------------------------------- what goes out

    private void serve(Taken request) {
        serving = true;
        charged = request.body().length;
        answering = request.rest();
        long waited = (System.nanoTime() - request.sentAt()) / 1000;
        server.serve(this, request.head(), request.body(), request.rest(), waited);
    }

    private long sentAt() {
        return System.nanoTime() - 1000 * server.unread();
    }

    /** The module owes an answer from here on; {@code left} runs if the client leaves before it. */
    public void owed(Runnable left) {
        gone = left;
    }

    public void plain(HttpResponseStatus status, String text, boolean keep) {
        ByteBuf body = Unpooled.copiedBuffer(text + "\n", StandardCharsets.UTF_8);
        write(status, body, "text/plain", null, null, keep);
    }

    /** Passes on an answer that has begun, as it comes. */
    public void stream(ResponseReader.Answer answer, boolean keep, boolean chunks) {
        settle();
        BodyStream rest = answer.rest();
        boolean framed = rest.length() >= 0 || chunks;
        boolean stay = keep && framed && !server.isStopping();
        DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        if (answer.type() != null) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, answer.type());
        }
        if (rest.length() >= 0) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, rest.length());
        } else if (chunks) {
            HttpUtil.setTransferEncodingChunked(response, true);
        }
        if (!stay) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        channel.write(response);
        download = rest;
        rest.to(new BodyStream.Sink() {
            @Override
            public void more(ByteBuf bytes) {
                channel.writeAndFlush(new DefaultHttpContent(bytes));
            }

            @Override
            public void whole() {
                download = null;
                written(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT), stay);
            }

            @Override
            public void broken() {
                download = null;
                // A reset where nothing else tells that it isn't whole.
                channel.config().setOption(ChannelOption.SO_LINGER, framed ? -1 : 0);
                channel.flush();
                close();
            }

            @Override
            public boolean hasRoom() {
                return channel.isWritable();
            }
        });
    }

    public boolean isStreaming() {
        return download != null;
    }

    // The request has its answer: what it held is free, and what still comes of it is not wanted.
    private void settle() {
        gone = null;
        server.room().give(charged);
        charged = 0;
        if (answering != null) {
            answering.discard();
            answering = null;
        }
    }

    /** Writes the answer to the request that is being served; one that can't be kept open ends it. */
    public void write(HttpResponseStatus status, ByteBuf body, String type, String header, String value, boolean keep) {
        settle();
        boolean stay = keep && !server.isStopping();
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        if (type != null) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
        }
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        if (value != null) {
            response.headers().set(header, value);
        }
        if (!stay) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        written(channel.writeAndFlush(response), stay);
    }

    private void written(ChannelFuture written, boolean stay) {
        if (upload == null) {
            since = System.nanoTime();
        }
        if (stay) {
            serving = false;
            next();
        } else if (problem == null && upload == null) {
            ending = true;
            written.addListener(ChannelFutureListener.CLOSE);
        } else {
            // Closed at once, with bytes unread, the connection would be reset before the answer is read.
            ending = true;
            written.addListener(done -> ((DuplexChannel) channel).shutdownOutput());
        }
    }

    // Later, and not from within: a long line of requests that are answered at once would fill the stack, and
    // keep all others waiting. Also, by then the end of the connection has been read where it came right behind the
    // request, so that nothing is sent on for a client that left while its request waited to be read.
    private void next() {
        if (!serving && !ending && (problem != null || !ahead.isEmpty())) {
            serving = true;
            called = true;
            channel.eventLoop().execute(() -> {
                called = false;
                Taken next = ahead.poll();
                if (!channel.isActive()) {
                    return;
                }
                if (next != null) {
                    serve(next);
                } else if (problem != null) {
                    plain(problem.status(), problem.text(), false);
                }
            });
        }
    }

    /** Notes that a request has begun to come in: its connection is not at rest, and its time runs. */
    private final class Mark extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object part) {
            if (!receiving && !ending) {
                receiving = true;
                received = 0;
                since = System.nanoTime();
            }
            readAt = System.nanoTime();
            received += part instanceof ByteBuf some ? some.readableBytes() : 0;
            context.fireChannelRead(part);
        }
    }

    /** Takes what a refused client still sends, for a while, and keeps none of it. */
    private final class Drain extends ChannelInboundHandlerAdapter {
        private long bytes;

        @Override
        public void channelRead(ChannelHandlerContext context, Object part) {
            bytes += part instanceof ByteBuf some ? some.readableBytes() : 0;
            ReferenceCountUtil.release(part);
            if (ending && bytes > LINGER_BYTES) {
                close();
            }
        }
    }
}
