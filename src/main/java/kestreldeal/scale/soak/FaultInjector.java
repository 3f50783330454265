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
import kestreldeal.scale.soak.FaultLibrary.Control;
import kestreldeal.scale.soak.StubEndpoint.State;

/** Injects faults of all kinds at random times, often enough that two or three of them overlap. */
final class FaultInjector {
    /** The part of the run in which faults start, as shares of its length. */
    private static final double FAULTS_START_SHARE = 0.05;
    private static final double FAULTS_END_SHARE = 0.85;
    private static final long MIN_FAULT_MS = 500;
    private static final long MAX_FAULT_MS = 6000;
    /** Longest time from the end of a process to the start of the next. */
    private static final long MAX_RESTART_DELAY_MS = 2000;
    /** Longest time for which a process is suspended, or one of its writes delayed. */
    private static final long MAX_PAUSE_MS = 150;
    /** Longest time from a fault until the sender is ended or killed in the middle of it. */
    private static final int MAX_OVERLAP_DELAY_MS = 1500;
    private static final int ALWAYS_RATE_PER_MILLION = 1_000_000;
    private static final long HOUR_MS = 3_600_000;
    /** More than the senders' limit on file descriptors. */
    private static final int CROWD_CONNECTIONS = 600;
    private static final int MAX_REPEATED_SIGNALS = 4;

    /** Kinds of faults. From {@link #WALL_STEPPED} on they need the fault library. */
    private enum FaultKind {
        /** An outage of a destination or of one endpoint. */
        OUTAGE,
        /** Replacement of an endpoint by another. */
        REPLACED,
        /** The agent does not respond to requests for the endpoint list. */
        SILENT_DISCOVERY,
        /** SIGTERM and a restart. */
        ENDED,
        /** SIGKILL and a restart. */
        KILLED,
        /** SIGHUP with a changed configuration. */
        RELOADED,
        /** The process is suspended. */
        HELD_UP,
        /** Clients send invalid requests. */
        BAD_CLIENTS,
        /** Clients open more connections than the sender has file descriptors for, and leave them idle. */
        CROWD,
        /** Endpoints close connections. */
        IDLE_CLOSED,
        /** The wall clock is set forward or back. */
        WALL_STEPPED,
        /** System calls on sockets fail. */
        SOCKETS_FAIL,
        /** System calls on files of the state directory fail. */
        FOLDER_FAILS,
        /** Transfers on sockets are short or delayed, and waits are interrupted. */
        SLOW_TRANSFERS;

        /** Whether the sender is also ended or killed during half of the faults of this kind. */
        boolean mayOverlapWithExit() {
            return this == RELOADED || this == SILENT_DISCOVERY || needsFaultLibrary();
        }

        boolean needsFaultLibrary() {
            return ordinal() >= WALL_STEPPED.ordinal();
        }
    }

    private final EventLoop eventLoop;
    private final Random random;
    private final Ledger ledger;
    private final Ledger.Clock clock;
    private final EndpointList endpointList;
    private final List<SoakSender> senders;
    private final List<SoakClients> clients;
    private final List<StubEndpoint> currentEndpoints;
    private final double[] systemCallsFaultyUntilMs;
    private final double[] endsLostUntilMs;
    private final double[] crowdedUntilMs;
    private final Map<FaultKind, Integer> countByKind = new EnumMap<>(FaultKind.class);
    private int replacementCount;

    FaultInjector(EventLoop eventLoop, Random random, Ledger ledger, Ledger.Clock clock, EndpointList endpointList,
            List<SoakSender> senders, List<SoakClients> clients, List<StubEndpoint> currentEndpoints) {
        this.eventLoop = eventLoop;
        this.random = random;
        this.ledger = ledger;
        this.clock = clock;
        this.endpointList = endpointList;
        this.senders = senders;
        this.clients = clients;
        this.currentEndpoints = currentEndpoints;
        this.systemCallsFaultyUntilMs = new double[senders.size()];
        this.endsLostUntilMs = new double[senders.size()];
        this.crowdedUntilMs = new double[senders.size()];
    }

    /** Schedules faults at random times of a run that starts now. */
    void schedule(int faultCount, int seconds) {
        for (int i = 0; i < faultCount; i++) {
            double delayMs = seconds * 1000
                    * (FAULTS_START_SHARE + (FAULTS_END_SHARE - FAULTS_START_SHARE) * random.nextDouble());
            eventLoop.schedule(this::injectRandomFault, (long) delayMs, TimeUnit.MILLISECONDS);
        }
    }

    /** The number of faults injected so far, by kind. */
    Map<String, Integer> counts() {
        Map<String, Integer> countByName = new TreeMap<>();
        countByKind.forEach((kind, count) -> countByName.put(kind.name().toLowerCase(Locale.ROOT), count));
        return countByName;
    }

    /** Whether connections to this sender may break: its system calls fail, or it is crowded, or was a moment ago. */
    boolean mayBreakConnections(int senderNumber) {
        return clock.nowMs() < MAX_PAUSE_MS
                + Math.max(systemCallsFaultyUntilMs[senderNumber], crowdedUntilMs[senderNumber]);
    }

    /** Whether its reads from sockets or its writes to the state directory fail, or did a moment ago. */
    boolean mayLoseEnds(int senderNumber) {
        return clock.nowMs() < endsLostUntilMs[senderNumber] + MAX_PAUSE_MS;
    }

    private long drawDurationMs() {
        return MIN_FAULT_MS + random.nextInt((int) (MAX_FAULT_MS - MIN_FAULT_MS));
    }

    /**
     * Injects a fault of a random kind into a random sender, unless the sender is restarting, or the fault needs the
     * fault library and the sender has none.
     */
    private void injectRandomFault() {
        FaultKind kind = FaultKind.values()[random.nextInt(FaultKind.values().length)];
        SoakSender sender = senders.get(random.nextInt(senders.size()));
        if (kind.needsFaultLibrary() && sender.faultLibrary().isEmpty() || sender.isRestarting()) {
            return;
        }
        inject(kind, sender);
        if (kind.mayOverlapWithExit() && random.nextBoolean()) {
            eventLoop.schedule(() -> {
                if (!sender.isRestarting()) {
                    inject(random.nextInt(3) == 0 ? FaultKind.ENDED : FaultKind.KILLED, sender);
                }
            }, random.nextInt(MAX_OVERLAP_DELAY_MS), TimeUnit.MILLISECONDS);
        }
    }

    private void inject(FaultKind kind, SoakSender sender) {
        countByKind.merge(kind, 1, Integer::sum);
        switch (kind) {
            case OUTAGE -> startOutage();
            case REPLACED -> replaceEndpoint();
            case SILENT_DISCOVERY -> sender.stopDiscovery(drawDurationMs());
            case ENDED -> {
                sender.terminate(random.nextInt((int) MAX_RESTART_DELAY_MS));
                sender.repeatSignals(random.nextInt(MAX_REPEATED_SIGNALS), random);
            }
            case KILLED -> sender.kill(random.nextInt((int) MAX_RESTART_DELAY_MS));
            case RELOADED -> new Thread(sender::reload, "reload").start();
            case HELD_UP -> sender.suspend(random.nextInt((int) MAX_PAUSE_MS));
            case BAD_CLIENTS -> sendInvalidRequests(clients.get(sender.number));
            case CROWD -> crowd(sender);
            case IDLE_CLOSED -> currentEndpoints.forEach(StubEndpoint::closeSomeConnections);
            case WALL_STEPPED -> stepWallClock(sender);
            case SOCKETS_FAIL -> {
                long durationMs = drawDurationMs();
                markEndsLost(sender, durationMs);
                injectSystemCallFaults(sender, durationMs,
                        Map.of(Control.ACCEPT_FAILS, 50_000L, Control.CONNECT_FAILS, 200_000L,
                                Control.SOCKET_FAILS, 50_000L, Control.READ_FAILS, 3000L));
            }
            case FOLDER_FAILS -> {
                long durationMs = MIN_FAULT_MS + random.nextInt(2000);
                markEndsLost(sender, durationMs);
                injectSystemCallFaults(sender, durationMs, Map.of(Control.STATE_FAILS,
                        random.nextBoolean() ? (long) ALWAYS_RATE_PER_MILLION : ALWAYS_RATE_PER_MILLION / 3L));
            }
            case SLOW_TRANSFERS -> injectSystemCallFaults(sender, drawDurationMs(),
                    Map.of(Control.SHORT_TRANSFERS, 200_000L, Control.INTERRUPTED_WAITS, 50_000L,
                            Control.HOLD_UPS, 10_000L, Control.HOLD_UP_MOST_MS, MAX_PAUSE_MS));
            default -> throw new IllegalStateException("unknown kind of fault: " + kind);
        }
    }

    private void markEndsLost(SoakSender sender, long durationMs) {
        endsLostUntilMs[sender.number] = Math.max(endsLostUntilMs[sender.number], clock.nowMs() + durationMs);
    }

    private void crowd(SoakSender sender) {
        long durationMs = drawDurationMs();
        crowdedUntilMs[sender.number] = Math.max(crowdedUntilMs[sender.number], clock.nowMs() + durationMs);
        clients.get(sender.number).openIdleConnections(CROWD_CONNECTIONS, durationMs);
    }

    /** Puts all endpoints of a destination, or one of them, into a random state of failure for some time. */
    private void startOutage() {
        StubEndpoint chosen = currentEndpoints.get(random.nextInt(currentEndpoints.size()));
        boolean wholeDestination = random.nextDouble() < 0.7;
        State outageState = State.values()[1 + random.nextInt(State.values().length - 1)];
        List<StubEndpoint> affected = currentEndpoints.stream().filter(endpoint -> endpoint == chosen
                || wholeDestination && endpoint.destination == chosen.destination).toList();
        affected.forEach(endpoint -> endpoint.changeState(outageState));
        eventLoop.schedule(() -> affected.forEach(endpoint -> endpoint.changeState(State.SERVING)), drawDurationMs(),
                TimeUnit.MILLISECONDS);
    }

    /** Replaces an endpoint by a new one; the old one drains and is then removed. */
    private void replaceEndpoint() {
        StubEndpoint oldEndpoint = currentEndpoints.get(random.nextInt(currentEndpoints.size()));
        StubEndpoint newEndpoint = new StubEndpoint("r-" + replacementCount++, oldEndpoint.destination, eventLoop,
                ledger, clock, new Random(random.nextLong()));
        long drainMs = 2 * SoakSettings.DRAIN_GRACE_MS + random.nextInt(2000);
        Thread thread = new Thread(() -> {
            newEndpoint.open();
            eventLoop.execute(() -> {
                currentEndpoints.remove(oldEndpoint);
                currentEndpoints.add(newEndpoint);
                endpointList.put(newEndpoint.id, newEndpoint.hostPort(), newEndpoint.destination, "SERVING");
                double nowMs = clock.nowMs();
                oldEndpoint.startDraining(senderNumber -> senders.get(senderNumber).notifiedAtMs(nowMs));
                endpointList.put(oldEndpoint.id, oldEndpoint.hostPort(), oldEndpoint.destination, "DRAINING");
            });
            eventLoop.schedule(() -> {
                endpointList.put(oldEndpoint.id, oldEndpoint.hostPort(), oldEndpoint.destination, "DELETED");
                oldEndpoint.close();
            }, drainMs, TimeUnit.MILLISECONDS);
        }, "replace");
        thread.start();
    }

    private void sendInvalidRequests(SoakClients target) {
        for (SoakClients.InvalidRequest invalidRequest : SoakClients.InvalidRequest.values()) {
            for (int i = 1 + random.nextInt(5); i > 0; i--) {
                target.sendInvalidRequest(invalidRequest);
            }
        }
    }

    /** Sets the wall clock of the sender forward or back, by 1 to 11 seconds or by an hour. */
    private void stepWallClock(SoakSender sender) {
        long stepMs = random.nextBoolean() ? HOUR_MS : 1000 + random.nextInt(10_000);
        sender.faultLibrary().get().set(Control.WALL_STEP_MS, random.nextBoolean() ? stepMs : -stepMs);
    }

    /** Sets controls of the sender's fault library for some time, and then to 0. */
    private void injectSystemCallFaults(SoakSender sender, long durationMs, Map<Control, Long> controlValues) {
        FaultLibrary library = sender.faultLibrary().get();
        systemCallsFaultyUntilMs[sender.number] = Math.max(systemCallsFaultyUntilMs[sender.number],
                clock.nowMs() + durationMs);
        controlValues.forEach(library::set);
        eventLoop.schedule(() -> new ArrayList<>(controlValues.keySet()).forEach(control -> library.set(control, 0)),
                durationMs, TimeUnit.MILLISECONDS);
    }
}
