package kestreldeal.scale.soak;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * One run: real senders on loopback, stand-ins for all that surrounds them, troubles that overlap, and the judgement.
 * All stand-ins are played by one thread, whose own lateness is measured and allowed for.
 */
final class Soak implements Ledger.Clock, AutoCloseable {
    private static final long READY_MS = 30_000;
    private static final long END_MS = 30_000;
    private static final long LOOK_MS = 200;
    private static final long TICK_MS = 10;
    /** Lateness of the test counts for so long. */
    private static final long LATE_MEMORY_MS = 2000;
    /** Seconds for each trouble of a sender. */
    private static final double SECONDS_A_TROUBLE = 6;

    private final SoakSettings settings;
    private final List<String> command;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final long begunNanos = System.nanoTime();
    private final Random random;
    private final Ledger ledger;
    private final Roster roster = new Roster();
    private final List<EndpointStand> endpoints = new ArrayList<>();
    private final List<EndpointStand> allEndpoints = new ArrayList<>();
    private final List<SoakSender> senders = new ArrayList<>();
    private final List<ClientStand> clients = new ArrayList<>();
    private Troubles troubles;
    private double lateMs;
    private double lateAtMs;
    private double mostLateMs;
    private double tickDueMs;

    Soak(SoakSettings settings, List<String> command) {
        this.settings = settings;
        this.command = command;
        this.random = new Random(settings.seed());
        this.ledger = new Ledger(settings.senders(), this);
    }

    @Override
    public double nowMs() {
        return (System.nanoTime() - begunNanos) / 1e6;
    }

    @Override
    public double lateMs() {
        return nowMs() - lateAtMs < LATE_MEMORY_MS ? lateMs : 0;
    }

    private void tick() {
        double now = nowMs();
        double late = Math.max(0, now - tickDueMs);
        if (late > lateMs || now - lateAtMs > LATE_MEMORY_MS) {
            lateMs = late;
            lateAtMs = now;
        }
        mostLateMs = Math.max(mostLateMs, late);
        tickDueMs = now + TICK_MS;
        loop.schedule(this::tick, TICK_MS, TimeUnit.MILLISECONDS);
    }

    /** Plays the run, and returns its figures. */
    Map<String, Object> run(Optional<Path> library) throws Exception {
        prepare(library);
        loop.submit(() -> {
            tickDueMs = nowMs();
            tick();
        }).sync();
        for (SoakSender sender : senders) {
            sender.start();
        }
        if (!await(READY_MS, () -> senders.stream().allMatch(sender -> ledger.isUp(sender.number)))) {
            throw new IOException("the senders are not ready: " + lastWords());
        }
        loop.submit(() -> {
            clients.forEach(client -> client.start(settings.messagesPerSecond()));
            if (settings.troubles()) {
                troubles.schedule((int) (settings.senders() * settings.seconds() / SECONDS_A_TROUBLE),
                        settings.seconds());
            }
        }).sync();
        long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(settings.seconds());
        while (System.nanoTime() < untilNanos) {
            Thread.sleep(LOOK_MS);
            loop.submit(ledger::judge).sync();
        }
        loop.submit(() -> clients.forEach(ClientStand::stop)).sync();
        boolean ended = await(END_MS, ledger::judge);
        return figures(ended);
    }

    private void prepare(Optional<Path> library) throws IOException {
        for (int i = 0; i < settings.destinations() * settings.endpointsEach(); i++) {
            EndpointStand endpoint = new EndpointStand("s-" + i, i % settings.destinations(), loop, ledger,
                    new Random(random.nextLong()));
            endpoint.open();
            endpoints.add(endpoint);
            roster.put(endpoint.id, endpoint.hostPort(), endpoint.destination, "SERVING");
        }
        allEndpoints.addAll(endpoints);
        for (int i = 0; i < settings.senders(); i++) {
            SoakSender sender = new SoakSender(i, settings, command, loop, ledger, this, roster, library);
            senders.add(sender);
            clients.add(new ClientStand(i, sender.address(), loop, ledger, this, new Random(random.nextLong()),
                    settings.destinations()));
        }
        troubles = new Troubles(loop, new Random(random.nextLong()), ledger, this, roster, senders, clients, endpoints);
        for (int i = 0; i < settings.senders(); i++) {
            int sender = i;
            clients.get(i).faultyWhile(() -> troubles.isFaulty(sender));
        }
    }

    private interface Condition {
        boolean holds();
    }

    private boolean await(long limitMs, Condition condition) throws Exception {
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMs);
        while (!loop.submit(condition::holds).get()) {
            if (System.nanoTime() > untilNanos) {
                return false;
            }
            Thread.sleep(LOOK_MS);
        }
        return true;
    }

    private Map<String, Object> figures(boolean ended) throws Exception {
        for (SoakSender sender : senders) {
            long broken = sender.figure("invariant_breaches_total");
            List<String> faults = Files.readAllLines(sender.log()).stream().filter(Soak::tellsOfAFault).toList();
            if (broken != 0 || !faults.isEmpty()) {
                loop.submit(() -> ledger.breach(Ledger.Rule.REPORTED_BY_SENDER, sender.number, "-", broken
                        + " breaches by its own count; " + faults.stream().limit(3).toList())).sync();
            }
        }
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("senders", settings.senders());
        figures.put("endpoints", settings.destinations() * settings.endpointsEach());
        figures.put("seconds", settings.seconds());
        figures.put("run_seed", settings.seed());
        figures.put("faults", senders.get(0).shim().isPresent());
        figures.putAll(loop.submit(ledger::figures).get());
        figures.put("refused_at_once", clients.stream().mapToLong(ClientStand::refused).sum());
        figures.put("unanswered", clients.stream().mapToLong(ClientStand::unanswered).sum());
        figures.put("all_judged", ended);
        figures.put("test_late_ms", Math.round(mostLateMs));
        figures.put("troubles", troubles.begun());
        return figures;
    }

    private static boolean tellsOfAFault(String line) {
        return line.contains("fault in the module") || line.contains("invariant broken") || line.contains("Exception")
                || line.contains("OutOfMemory");
    }

    /** Breaches, each with what its sender traced of the message. */
    List<String> report() throws IOException {
        List<String> lines = new ArrayList<>();
        for (Ledger.Breach breach : ledger.breaches()) {
            lines.add(breach.toString());
            if (breach.sender() >= 0 && !breach.id().equals("-")) {
                senders.get(breach.sender()).trace(breach.id()).forEach(line -> lines.add("    " + line));
            }
        }
        return lines;
    }

    /** What it cost each sender in the mean: processor seconds, most memory, descriptors, connections, bytes of lists. */
    Map<String, Double> costs() throws IOException {
        double[] sums = new double[3];
        for (SoakSender sender : senders) {
            double[] costs = sender.costs();
            for (int i = 0; i < sums.length; i++) {
                sums[i] += costs[i];
            }
        }
        Map<String, Double> means = new LinkedHashMap<>();
        means.put("cpu_s", sums[0] / senders.size());
        means.put("peak_mb", sums[1] / senders.size());
        means.put("descriptors", sums[2] / senders.size());
        means.put("connections", allEndpoints.stream().mapToLong(EndpointStand::accepted).sum() / (double) senders.size());
        means.put("list_bytes", senders.stream().mapToLong(s -> s.agent().listBytes()).sum() / (double) senders.size());
        return means;
    }

    private String lastWords() throws IOException {
        List<String> words = new ArrayList<>();
        for (SoakSender sender : senders) {
            List<String> lines = Files.exists(sender.log()) ? Files.readAllLines(sender.log()) : List.of();
            words.add(lines.isEmpty() ? "nothing" : lines.get(lines.size() - 1));
        }
        return words.toString();
    }

    @Override
    public void close() throws Exception {
        for (SoakSender sender : senders) {
            sender.close();
        }
        endpoints.forEach(EndpointStand::close);
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
    }
}
