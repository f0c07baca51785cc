package org.tanagerhinge.gateway;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tanagerhinge.core.relay.ServerInstance;
import org.tanagerhinge.node.http.ResponseDecoder;

/**
 * Finds out whether an instance of a backend server still runs after one of its connections has ended.
 *
 * <p>The kernel closes the sockets of a killed process one after the other, so its listening socket may accept
 * connections after others have ended, and another process may listen at the address soon. Only a whole answer to a health
 * check that was sent afterwards shows that the instance runs. Since a health check may have to wait for a free slot, a
 * connection that stays open for {@value #SURVIVAL_MILLIS} ms counts as well, unless this process was suspended
 * meanwhile: the listening socket of a killed process is closed by then, and what it had accepted is reset.
 */
final class ServerLivenessCheck {
    /** Time for which a connection must stay open to show that its server runs. */
    private static final long SURVIVAL_MILLIS = 250;

    private static final int MAX_HEADER_BYTES = 8_192;
    /** Delay of the timer above that shows that this process was suspended. */
    private static final long MAX_TIMER_DELAY_MILLIS = 100;

    private final Gateway gateway;
    private final EventLoopGroup loop;
    private final Dialect dialect;
    private final Map<String, List<Consumer<Verdict>>> waitingByInstance = new HashMap<>();

    ServerLivenessCheck(Gateway gateway, EventLoopGroup loop, Dialect dialect) {
        this.gateway = gateway;
        this.loop = loop;
        this.dialect = dialect;
    }

    /** What a check has shown. */
    enum Verdict {
        RUNNING,
        /** Nothing listens at the server's address any more. */
        REFUSED,
        /** Another instance answers at the server's address. */
        REPLACED,
        /** The server can't be reached, or it can't be told whether it is the same one. */
        UNKNOWN
    }

    /** Begins a check after the running one of the same instance, which may have begun too early. */
    void check(ServerInstance server, Consumer<Verdict> onVerdict) {
        List<Consumer<Verdict>> waiting = waitingByInstance.get(server.instanceId());
        if (waiting != null) {
            waiting.add(onVerdict);
            return;
        }
        waitingByInstance.put(server.instanceId(), new ArrayList<>());
        new Check(server, List.of(onVerdict)).connect();
    }

    private final class Check {
        private final ServerInstance server;
        private final List<Consumer<Verdict>> listeners;
        private final Optional<String> healthPath;
        private final long beganAtMillis = gateway.nowMillis();
        private final boolean begunLate = gateway.recentlyStalled();
        private boolean reconnecting;
        private boolean ended;
        private Future<?> survivalTimer;

        Check(ServerInstance server, List<Consumer<Verdict>> listeners) {
            this.server = server;
            this.listeners = listeners;
            this.healthPath = gateway.config()
                    .flatMap(config -> config.service(server.service()).healthPath());
        }

        void connect() {
            BackendConnectionPool.bootstrap(loop)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline()
                                    .addLast(
                                            new HttpRequestEncoder(),
                                            new ResponseDecoder(MAX_HEADER_BYTES),
                                            new ProbeHandler());
                        }
                    })
                    .connect(server.address())
                    .addListener((io.netty.channel.ChannelFutureListener) future -> {
                        if (!future.isSuccess()) {
                            boolean refused = future.cause() instanceof ConnectException
                                    && !(future.cause() instanceof ConnectTimeoutException);
                            end(refused ? Verdict.REFUSED : Verdict.UNKNOWN);
                        } else if (reconnecting) {
                            future.channel().close();
                            end(unlessSuspended());
                        } else {
                            connected(future.channel());
                        }
                    });
        }

        private void connected(Channel channel) {
            healthPath.ifPresent(path -> sendHealthCheck(channel, path));
            survivalTimer = channel.eventLoop()
                    .schedule(
                            () -> {
                                end(unlessSuspended());
                                channel.close();
                            },
                            SURVIVAL_MILLIS,
                            TimeUnit.MILLISECONDS);
        }

        private void sendHealthCheck(Channel channel, String path) {
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
            request.headers()
                    .set(
                            HttpHeaderNames.HOST,
                            server.address().getHostString() + ":"
                                    + server.address().getPort())
                    .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            dialect.prepareHealthCheck(request.headers(), server.id());
            channel.writeAndFlush(request);
        }

        private Verdict unlessSuspended() {
            long maxMillis = SURVIVAL_MILLIS + BackendConnectionPool.CONNECT_TIMEOUT_MILLIS + MAX_TIMER_DELAY_MILLIS;
            boolean suspended = begunLate || gateway.nowMillis() - beganAtMillis > maxMillis;
            return suspended ? Verdict.UNKNOWN : Verdict.RUNNING;
        }

        private void end(Verdict verdict) {
            if (ended) {
                return;
            }
            ended = true;
            if (survivalTimer != null) {
                survivalTimer.cancel(false);
            }
            gateway.count("server_check_" + verdict.name().toLowerCase(Locale.ROOT));
            List<Consumer<Verdict>> next = waitingByInstance.remove(server.instanceId());
            if (!next.isEmpty()) {
                waitingByInstance.put(server.instanceId(), new ArrayList<>());
                new Check(server, next).connect();
            }
            listeners.forEach(listener -> gateway.runGuarded(() -> listener.accept(verdict)));
        }

        /** Awaits the response to a health check, or the end of the connection. */
        private final class ProbeHandler extends ChannelInboundHandlerAdapter {
            /** What the response shows if it is whole; empty before its head. */
            private Optional<Verdict> verdict = Optional.empty();

            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                try {
                    read(context, (HttpObject) message);
                } finally {
                    ReferenceCountUtil.release(message);
                }
            }

            private void read(ChannelHandlerContext context, HttpObject object) {
                if (object.decoderResult().isFailure()) {
                    verdict = Optional.of(Verdict.UNKNOWN);
                } else if (object instanceof HttpResponse response
                        && response.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
                    verdict = Optional.of(verdictOf(response));
                }
                boolean last = object.decoderResult().isFailure() || object instanceof LastHttpContent;
                if (last && verdict.isPresent()) {
                    end(verdict.get());
                    context.close();
                }
            }

            private Verdict verdictOf(HttpResponse response) {
                return dialect.isHealthOf(response, server.id()) ? Verdict.RUNNING : Verdict.REPLACED;
            }

            /** Distinguishes a server that accepts no more connections from one whose process has ended. */
            @Override
            public void channelInactive(ChannelHandlerContext context) {
                if (verdict.isPresent()) {
                    end(Verdict.UNKNOWN);
                } else if (!ended && !reconnecting) {
                    reconnecting = true;
                    survivalTimer.cancel(false);
                    connect();
                }
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                context.close();
            }
        }
    }
}
