package loadbalancer.simulator.fleet;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A few listeners that answer every request at once, and stand for all upstreams: their time is no part of what is
 * measured. One thread.
 */
final class QuickUpstream implements AutoCloseable {
    private static final int BODY_MOST = 64 << 10;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final List<InetSocketAddress> addresses = new ArrayList<>();

    QuickUpstream(int listeners) {
        ServerBootstrap server = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 1_024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec(), new HttpObjectAggregator(BODY_MOST), new Answers());
                    }
                });
        for (int i = 0; i < listeners; i++) {
            addresses.add((InetSocketAddress) server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                    .syncUninterruptibly()
                    .channel()
                    .localAddress());
        }
    }

    List<InetSocketAddress> addresses() {
        return addresses;
    }

    /** The same as discovery writes them. */
    List<String> endpoints() {
        return addresses.stream()
                .map(a -> a.getAddress().getHostAddress() + ":" + a.getPort())
                .toList();
    }

    private static final class Answers extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            boolean healthCheck = request.uri().startsWith("/-/");
            DefaultFullHttpResponse answer = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.OK,
                    Unpooled.copiedBuffer(healthCheck ? "" : "done", StandardCharsets.US_ASCII));
            HttpUtil.setContentLength(answer, answer.content().readableBytes());
            context.writeAndFlush(answer);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2_000);
    }
}
