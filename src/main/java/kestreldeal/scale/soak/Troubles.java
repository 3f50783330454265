package kestreldeal.scale.soak;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import kestreldeal.scale.soak.EndpointStand.State;
import kestreldeal.scale.soak.Shim.Control;

/** What goes wrong in a run: troubles of all kinds at random times, so that two or three of them overlap. */
final class Troubles {
    private static final double FIRST = 0.05;
    private static final double LAST = 0.85;
    private static final long LEAST_MS = 500;
    private static final long MOST_MS = 6000;
    private static final long MOST_DOWN_MS = 2000;
    private static final long MOST_HOLD_UP_MS = 150;
    private static final int MOST_CROSSING_MS = 1500;
    private static final int CERTAIN = 1_000_000;
    private static final long HOUR_MS = 3_600_000;

    private enum Kind {
        OUTAGE, REPLACED, SILENT_DISCOVERY, ENDED, KILLED, RELOADED, HELD_UP, BAD_CLIENTS, IDLE_CLOSED, WALL_STEPPED,
        SOCKETS_FAIL, FOLDER_FAILS, SLOW_TRANSFERS;

        /** The sender is often ended or killed in the middle of it. */
        boolean isCrossedByAnEnd() {
            return this == RELOADED || this == SILENT_DISCOVERY || needsShim();
        }

        boolean needsShim() {
            return ordinal() >= WALL_STEPPED.ordinal();
        }
    }

    private final EventLoop loop;
    private final Random random;
    private final Ledger ledger;
    private final Ledger.Clock clock;
    private final Roster roster;
    private final List<SoakSender> senders;
    private final List<ClientStand> clients;
    private final List<EndpointStand> endpoints;
    private final double[] faultyUntilMs;
    private final Map<Kind, Integer> begun = new EnumMap<>(Kind.class);
    private int replacements;

    Troubles(EventLoop loop, Random random, Ledger ledger, Ledger.Clock clock, Roster roster, List<SoakSender> senders,
            List<ClientStand> clients, List<EndpointStand> endpoints) {
        this.loop = loop;
        this.random = random;
        this.ledger = ledger;
        this.clock = clock;
        this.roster = roster;
        this.senders = senders;
        this.clients = clients;
        this.endpoints = endpoints;
        this.faultyUntilMs = new double[senders.size()];
    }

    /** So many troubles over a run of so many seconds from now on. */
    void schedule(int many, int seconds) {
        for (int i = 0; i < many; i++) {
            double at = seconds * 1000 * (FIRST + (LAST - FIRST) * random.nextDouble());
            loop.schedule(this::begin, (long) at, TimeUnit.MILLISECONDS);
        }
    }

    /** How many of each kind there were. */
    Map<String, Integer> begun() {
        Map<String, Integer> names = new TreeMap<>();
        begun.forEach((kind, count) -> names.put(kind.name().toLowerCase(Locale.ROOT), count));
        return names;
    }

    /** Whether this sender's own system calls fail, or did a moment ago. */
    boolean isFaulty(int sender) {
        return clock.nowMs() < faultyUntilMs[sender] + MOST_HOLD_UP_MS;
    }

    private long someMs() {
        return LEAST_MS + random.nextInt((int) (MOST_MS - LEAST_MS));
    }

    private void begin() {
        Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
        SoakSender sender = senders.get(random.nextInt(senders.size()));
        if (kind.needsShim() && sender.shim().isEmpty() || sender.isBusy()) {
            return;
        }
        play(kind, sender);
        if (kind.isCrossedByAnEnd() && random.nextBoolean()) {
            loop.schedule(() -> {
                if (!sender.isBusy()) {
                    play(random.nextInt(3) == 0 ? Kind.ENDED : Kind.KILLED, sender);
                }
            }, random.nextInt(MOST_CROSSING_MS), TimeUnit.MILLISECONDS);
        }
    }

    private void play(Kind kind, SoakSender sender) {
        begun.merge(kind, 1, Integer::sum);
        switch (kind) {
            case OUTAGE -> outage();
            case REPLACED -> replace();
            case SILENT_DISCOVERY -> sender.silence(someMs());
            case ENDED -> sender.end(random.nextInt((int) MOST_DOWN_MS));
            case KILLED -> sender.kill(random.nextInt((int) MOST_DOWN_MS));
            case RELOADED -> new Thread(sender::reload, "reload").start();
            case HELD_UP -> sender.holdUp(random.nextInt((int) MOST_HOLD_UP_MS));
            case BAD_CLIENTS -> misbehave(clients.get(sender.number));
            case IDLE_CLOSED -> endpoints.forEach(EndpointStand::closeSome);
            case WALL_STEPPED -> step(sender);
            case SOCKETS_FAIL -> fail(sender, someMs(), Map.of(Control.ACCEPT_FAILS, 50_000L, Control.CONNECT_FAILS, 200_000L,
                    Control.SOCKET_FAILS, 50_000L, Control.READ_FAILS, 3000L));
            case FOLDER_FAILS -> fail(sender, LEAST_MS + random.nextInt(2000), Map.of(Control.STATE_FAILS,
                    random.nextBoolean() ? (long) CERTAIN : CERTAIN / 3L));
            case SLOW_TRANSFERS -> fail(sender, someMs(), Map.of(Control.SHORT_TRANSFERS, 200_000L,
                    Control.INTERRUPTED_WAITS, 50_000L, Control.HOLD_UPS, 10_000L, Control.HOLD_UP_MOST_MS,
                    MOST_HOLD_UP_MS));
            default -> throw new IllegalStateException("no such trouble: " + kind);
        }
    }

    /** All endpoints of a destination, or one of them, are out in some way. */
    private void outage() {
        EndpointStand one = endpoints.get(random.nextInt(endpoints.size()));
        boolean all = random.nextDouble() < 0.7;
        State way = State.values()[1 + random.nextInt(State.values().length - 1)];
        List<EndpointStand> out = endpoints.stream().filter(e -> e == one || all && e.destination == one.destination)
                .toList();
        out.forEach(endpoint -> endpoint.become(way));
        loop.schedule(() -> out.forEach(endpoint -> endpoint.become(State.SERVING)), someMs(), TimeUnit.MILLISECONDS);
    }

    /** Another endpoint takes the place of one, which drains and then goes. */
    private void replace() {
        EndpointStand old = endpoints.get(random.nextInt(endpoints.size()));
        EndpointStand next = new EndpointStand("r-" + replacements++, old.destination, loop, ledger,
                new Random(random.nextLong()));
        long drainMs = 2 * SoakSettings.DRAIN_GRACE_MS + random.nextInt(2000);
        Thread opening = new Thread(() -> {
            next.open();
            loop.execute(() -> {
                endpoints.remove(old);
                endpoints.add(next);
                roster.put(next.id, next.hostPort(), next.destination, "SERVING");
                double now = clock.nowMs();
                old.closes(sender -> senders.get(sender).toldAtMs(now));
                roster.put(old.id, old.hostPort(), old.destination, "DRAINING");
            });
            loop.schedule(() -> {
                roster.put(old.id, old.hostPort(), old.destination, "DELETED");
                old.close();
            }, drainMs, TimeUnit.MILLISECONDS);
        }, "replace");
        opening.start();
    }

    private void misbehave(ClientStand of) {
        for (ClientStand.Bad bad : ClientStand.Bad.values()) {
            for (int i = 1 + random.nextInt(5); i > 0; i--) {
                of.misbehave(bad);
            }
        }
    }

    /** By seconds, or by an hour, forward or back. */
    private void step(SoakSender sender) {
        long ms = random.nextBoolean() ? HOUR_MS : 1000 + random.nextInt(10_000);
        sender.shim().get().set(Control.WALL_STEP_MS, random.nextBoolean() ? ms : -ms);
    }

    private void fail(SoakSender sender, long forMs, Map<Control, Long> rates) {
        Shim shim = sender.shim().get();
        faultyUntilMs[sender.number] = Math.max(faultyUntilMs[sender.number], clock.nowMs() + forMs);
        rates.forEach(shim::set);
        loop.schedule(() -> new ArrayList<>(rates.keySet()).forEach(control -> shim.set(control, 0)), forMs,
                TimeUnit.MILLISECONDS);
    }
}
