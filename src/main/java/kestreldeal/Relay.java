package kestreldeal;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The interface of the decision module: the events that a sender reports to it, the actions that it requests
 * from the sender, and the values that both exchange.
 *
 * <p>Contract. One instance serves one sender and must not be called by two threads at the same time. It has no
 * clock: each event carries the caller's time in milliseconds, which must never decrease. The events between two
 * calls of {@link #endTurn} form a turn and share one time. New attempts are started in {@code endTurn} only, so
 * that attempts of one turn to the same endpoint can share a call. The instance may invoke {@link Actions} during
 * any event; the sender must carry them out in the order of invocation, and must not call the instance from within
 * an action. Equal settings, seeds and events produce equal actions.
 *
 * <p>Incorrect use (the result of an unknown attempt, the id of a message that is still tracked, an unknown class, a
 * time that decreases) throws {@link IllegalArgumentException}. Events that can arrive late in normal operation are
 * ignored: a cancellation of an unknown or completed message, a timer that is no longer needed. A second result of an
 * attempt counts if it finishes the message or tells that the attempt never ran.
 *
 * <p>Another exception, of the instance or of an action, is a bug. An event that throws one has still been applied to
 * all messages, calls and endpoints that it does not concern. No call keeps its slot, and each message is tried again,
 * ended at its deadline, or was about to be ended by the action that threw. If {@link Actions#send} throws, the attempt
 * may have run and gets no result.
 */
public interface Relay {
    /** Creates instances; tests use it to make them break a rule. */
    interface Factory {
        /** Creates an instance without messages, endpoints or learned state. */
        Relay create(Settings settings, long seed, Actions actions);
    }

    /** Creates an instance without messages, endpoints or learned state. */
    static Relay create(Settings settings, long seed, Actions actions) {
        return new DeliveryScheduler(settings, seed, actions);
    }

    /**
     * Reports a change of the endpoint list: {@code entries} are the full list, or only the entries that differ from
     * the previous list.
     */
    void endpointsChanged(double nowMs, boolean fullList, List<Endpoint> entries);

    /**
     * Reports that a list, or the changes since the last one, have been read to their end, also if there were none.
     * Endpoints that left the list a while ago, or that no list has named, are now forgotten, see {@link
     * Actions#endpointForgotten}.
     */
    void endpointListCompleted(double nowMs);

    /**
     * Reports that the sender has accepted a message. Unless it is cancelled, exactly one final result completes it:
     * it is delivered, rejected or failed, normally before its deadline. The result comes at the deadline or shortly
     * after it if an attempt is in flight until then.
     */
    void messageAccepted(double nowMs, Message message);

    /**
     * Restores a message that a previous process of this sender accepted, from the journal, with the attempts made
     * so far in their order; further attempts continue their numbering. An attempt whose process has ended may have
     * run; it occupies no slot and gets no result. An attempt with an {@code inFlightCallId} is still awaited by the
     * previous process, which passes its result on: it gets a result, and its call occupies a slot if its endpoint is
     * listed. Messages are restored in the order in which they were accepted.
     */
    void messageRestored(double nowMs, Message message, List<EarlierAttempt> attempts);

    /**
     * Restores the health of an endpoint as a previous process last saved it by {@link Actions#saveEndpointHealth};
     * the caller has converted {@code sinceMs} to this process's clock. It is restored before the messages of that
     * process, whether or not the endpoint is listed yet.
     */
    void restoreEndpointHealth(double nowMs, long endpoint, EndpointHealth health);

    /**
     * Returns the learned state to be passed to the next process: all state except the messages and the health that
     * was passed to {@link Actions#saveEndpointHealth}.
     */
    LearnedState learnedState(double nowMs);

    /** Restores the learned state of the previous process; called at most once, before its messages are restored. */
    void restoreLearnedState(double nowMs, LearnedState state);

    /**
     * Announces that the sender will stop at {@code endMs}. From now on the instance starts no call that it does not
     * expect to complete before that time.
     */
    void shutdownScheduled(double nowMs, double endMs);

    /**
     * Reports the result of an attempt; each {@link Actions#send} gets exactly one. The result {@link
     * Outcome#DELIVERED} completes the message without a further action of the instance.
     */
    void attemptCompleted(double nowMs, AttemptResult result);

    /**
     * Reports that an endpoint asked the sender to back off for {@code retryAfterMs} from now on. The response may
     * belong to a call that is already over, or may be impossible to read to its end. The result of an attempt may
     * report the same wait again.
     */
    void retryAfterReceived(double nowMs, long endpoint, double retryAfterMs);

    /**
     * Returns whether a call may still be written to its endpoint. After the call was decided, while its connection
     * was being opened, the endpoint may have asked to back off, or may have been listed as not serving. This is a
     * query and not an event: its time may be later than that of the current turn.
     */
    boolean sendAllowed(double nowMs, long endpoint);

    /** Reports that no client waits for this message any more, so that it needs no final result. */
    void messageCancelled(double nowMs, long message);

    /** Reports that a timer set by {@link Actions#wakeAt} has expired; early and outdated timers are harmless. */
    void wake(double nowMs);

    /** Returns the current numbers of endpoints, for the operators. */
    EndpointCounts endpointCounts();

    /** Ends the turn: all its events have been reported, and the instance now decides which attempts to start. */
    void endTurn(double nowMs);

    /** The actions that the decision module requests from the sender. */
    interface Actions {
        /**
         * Starts the next attempt of a message. The attempts of a message are numbered 0, 1, 2 and so on. The timeout
         * starts now. Attempts of one turn to the same endpoint may share a call, up to the maximum batch size of the
         * destination's kind.
         */
        void send(long message, long endpoint, double timeoutMs);

        /**
         * Stops waiting for an attempt, because its message is completed or to free its slot; its result is still
         * reported.
         */
        void cancel(long message, int attempt);

        /** Closes this sender's idle connections to an endpoint; the next call opens a new one. */
        void closeIdleConnections(long endpoint);

        /**
         * Completes a message as rejected: it is safe to submit it again, which the client should do after the given
         * time at the earliest.
         */
        void reject(long message, double retryAfterMs);

        /** Completes a message as failed; whether it took effect is unknown. */
        void fail(long message);

        /** Sets a timer: {@link Relay#wake} is to be called in a turn at or soon after this time. */
        void wakeAt(double timeMs);

        /**
         * Saves the changed health of an endpoint for the next process of this sender. A sender without a journal has
         * nothing to save it for.
         */
        default void saveEndpointHealth(long endpoint, EndpointHealth health) {
        }

        /**
         * The instance has forgotten an endpoint that is not listed: no call to it is in flight, no Retry-After wait of
         * it runs, and no action will name it again. Until then the sender must keep what belongs to its number.
         */
        default void endpointForgotten(long endpoint) {
        }

        /** Writes a line to the log, for the operators. */
        void log(String text);
    }

    /** Whether it is safe to repeat a message, that is, to attempt it more than once. */
    enum Repeat {
        /** Repeating the message is harmless. */
        SAFE,
        /** The destination drops repeats for a time, everywhere or only within a zone (see {@link MessageClass}). */
        KEYED,
        /** The message must not run twice. */
        UNSAFE
    }

    /** The outcome of an attempt. */
    enum Outcome {
        DELIVERED(false),
        /** The endpoint answered with an error; the message may have run. */
        ERROR(true),
        /** Refused without being processed: the rate limit is exceeded, or the endpoint accepts no messages now. */
        FULL(false),
        /** No answer arrived in time; the message may have run, or may still run. */
        TIMED_OUT(true),
        /** No connection could be opened. */
        UNREACHABLE(false),
        /** The connection broke while the attempt was in flight; the message may have run. */
        BROKEN(true),
        /** The sender cancelled the attempt; the message may have run. */
        CANCELLED(true),
        /** The attempt was never sent: no slot was free, or the message was already completed. */
        NOT_SENT(false);

        private final boolean mayHaveRun;

        Outcome(boolean mayHaveRun) {
            this.mayHaveRun = mayHaveRun;
        }

        /** Returns whether an attempt that did not deliver may have taken effect nevertheless; false for a delivery. */
        public boolean mayHaveRun() {
            return mayHaveRun;
        }
    }

    /**
     * One entry of the endpoint list. The messages of a destination may go only to that destination's endpoints.
     * {@code kind} is an index into {@link Settings#kinds}; the last kind applies if it is too large. {@code zone} is
     * an index into {@link Settings#zoneFees}; a zone without an entry has no fee. {@code listedRatePerSecond} is the
     * listed rate limit in calls a second, for all senders together. An endpoint that is removed, or that a full list
     * does not contain, is forgotten after a while.
     */
    record Endpoint(long id, long destination, int kind, int zone, boolean serving, double listedRatePerSecond,
            boolean removed) {
        /** An endpoint that is not removed. */
        Endpoint(long id, long destination, int kind, int zone, boolean serving, double listedRatePerSecond) {
            this(id, destination, kind, zone, serving, listedRatePerSecond, false);
        }
    }

    /**
     * A message as it was accepted. {@code timeLeftMs} is the time left until the deadline of its class; {@code key}
     * is set for the classes whose messages are delivered in order. {@code budgetLeftMs} is the time for which the
     * client's budget lasts at least; a call with several messages ends before any of their budgets does, since its
     * response could be read as the result of a message that is over.
     */
    record Message(long id, int messageClass, int tenant, Optional<String> key, double timeLeftMs,
            long destination, double budgetLeftMs) {
        /** A message whose client's budget lasts until its deadline. */
        public Message(long id, int messageClass, int tenant, Optional<String> key, double timeLeftMs,
                long destination) {
            this(id, messageClass, tenant, key, timeLeftMs, destination, timeLeftMs);
        }
    }

    /**
     * An attempt made by a previous process. {@code sentAtMs} is on this process's clock, usually before its start.
     * {@code inFlightCallId} is set if the attempt is still in flight; several attempts may share that call.
     */
    record EarlierAttempt(long endpoint, double sentAtMs, boolean mayHaveRun, OptionalLong inFlightCallId) {
        /** Stands for an endpoint that has no number, since no list has named it. */
        public static final long UNKNOWN_ENDPOINT = -1;

        /** An attempt that no process waits for any more. */
        public EarlierAttempt(long endpoint, double sentAtMs, boolean mayHaveRun) {
            this(endpoint, sentAtMs, mayHaveRun, OptionalLong.empty());
        }
    }

    /**
     * What a process passes to the next one: the learned state of each endpoint and its rate limit, and the ages in
     * milliseconds, oldest first, of the first sends, hedged attempts ({@code copiesAgo}) and retries after refusals
     * ({@code retriesAgo}) from which the limits on such attempts are computed.
     */
    record LearnedState(List<LearnedEndpointState> endpoints, List<Double> firstSendsAgo, List<Double> copiesAgo,
            List<Double> retriesAgo) {
    }

    /**
     * The learned state of one endpoint and of the rate limit that applies to it. Rates are in calls a millisecond.
     * {@code pace} is the allowed send rate, infinite if there is no limit, and {@code paceCutAgoMs} the time since it
     * was last cut. {@code pressed} is the refusal level: one more for each rate cut, up to a limit, and one less for
     * each delivery, down to 0. {@code waitLeftMs} is the rest of a Retry-After wait, {@code sent} the rate of sent
     * calls, {@code told} the limit that the destination reported, {@code demand} the rate of messages accepted for the
     * destination, {@code carried} the rate that the endpoint sustained, {@code latencyMs} and {@code deviationMs} the
     * mean latency and its mean absolute deviation, and {@code goodAgoMs} the time since the last delivery. The times
     * since an event are infinite if there was none.
     */
    record LearnedEndpointState(long endpoint, double waitLeftMs, double pace, double paceCutAgoMs, int pressed,
                 double sent, double told, double demand, double carried, double latencyMs, double deviationMs,
                 double goodAgoMs) {
        /** Returns the same state under the id that another process uses for the endpoint. */
        public LearnedEndpointState withEndpointId(long newId) {
            return new LearnedEndpointState(newId, waitLeftMs, pace, paceCutAgoMs, pressed, sent, told, demand, carried,
                    latencyMs, deviationMs, goodAgoMs);
        }
    }

    /** The number of listed endpoints, and how many of those are listed as not serving or are in an outage. */
    record EndpointCounts(int listed, int unavailable) {
    }

    /** The assumed state of an endpoint. The journal stores the ordinal, so the order must not change. */
    enum EndpointState {
        /** In service. */
        UP,
        /** In an outage: the endpoint gets probe attempts only. */
        DOWN,
        /** Recovering from an outage: slow start limits its load. */
        WARMING
    }

    /**
     * The state of an endpoint, the time at which it entered that state, and the rate in calls a millisecond that it
     * sustained for this sender before an outage.
     */
    record EndpointHealth(EndpointState state, double sinceMs, double sustainedPerMs) {
    }

    /**
     * What a response reports about the rate limit of its destination. {@code rate} is the limit in calls a second
     * for all senders together, 0 if not reported; {@code left} is the share of the limit that is currently left,
     * negative if not reported.
     */
    record LoadReport(double rate, double left) {
        /** A report without any values. */
        public static final LoadReport NONE = new LoadReport(0, -1);
    }

    /**
     * The result of one attempt. {@code messageFinished} is set if the endpoint reported that the message needs no
     * further attempt, whatever the outcome; {@code retryAfterMs} is the wait that an overloaded destination asked for,
     * or 0.
     */
    record AttemptResult(long message, int attempt, Outcome outcome, double durationMs, boolean messageFinished,
            double retryAfterMs, LoadReport report) {
        /** A result without a load report. */
        AttemptResult(long message, int attempt, Outcome outcome, double durationMs, boolean messageFinished,
                double retryAfterMs) {
            this(message, attempt, outcome, durationMs, messageFinished, retryAfterMs, LoadReport.NONE);
        }
    }

    /** How the value of a message decreases after its target latency has passed. */
    enum Decay {
        /** Linearly, down to {@code minValueShare} at the deadline. */
        LINEAR,
        /** By half with each further target latency, but not below {@code minValueShare}. */
        HALVING
    }

    /**
     * A message class. {@code value} is the value of a delivery within the target latency, and {@code minValueShare}
     * the share of it that a later delivery before the deadline always has, see {@link Decay}. {@code dedupWindowMs} is
     * the time after the first send for which the destination drops repeats, and {@code dedupWithinZone} tells whether
     * it does so within one zone only. The messages of an {@code ordered} class are delivered in order by key.
     */
    record MessageClass(double targetLatencyMs, double deadlineMs, double value, double minValueShare, Repeat repeat,
                        boolean dedupWithinZone, double dedupWindowMs, boolean ordered) {
    }

    /**
     * A kind of destination: whether its endpoints are separate routes to it, each with a rate limit and a zone fee of
     * its own, or share one rate limit without fees; and the maximum number of messages in one call.
     */
    record DestinationKind(boolean separateRoutes, int maxBatchSize) {
    }

    /**
     * How a destination that recovers from an outage must be treated. Its capacity rises linearly from the initial
     * share to all of it within {@code rampUpMs}; until then it must not get more than {@code overloadMultiple} times
     * its current capacity in any period of {@code overloadMs}.
     */
    record SlowStart(double initialCapacityShare, double rampUpMs, double overloadMultiple, double overloadMs) {
    }

    /**
     * The settings of a deployment and of a sender. {@code ratesListed} tells whether the rates of the endpoint list
     * are meaningful; {@code zoneFees} are the fees of a send by zone index, for separate routes; {@code senderCount}
     * is the number of senders that share the destinations; {@code slotCount} is the maximum number of calls that this
     * sender has in flight; {@code hedging} and {@code cancellation} tell whether it may have several attempts of a
     * message in flight, and whether it may cancel attempts; {@code keyCoolDownMs} is the time for which an ordered key
     * is not sent to after an attempt that may still be running; an idle connection closes after {@code keepAliveMs}.
     */
    record Settings(List<MessageClass> classes, List<DestinationKind> kinds, boolean ratesListed, Decay valueDecay,
                    List<Double> zoneFees, int senderCount, int slotCount, int maxAttempts, boolean hedging,
                    boolean cancellation, double keyCoolDownMs, double keepAliveMs, SlowStart slowStart) {
        /** Rejects settings that are invalid in any deployment. */
        public Settings {
            if (classes.isEmpty() || kinds.isEmpty()) {
                throw new IllegalArgumentException("settings need at least one message class and destination kind");
            }
            if (slotCount < 1 || maxAttempts < 1 || senderCount < 1) {
                throw new IllegalArgumentException("the numbers of slots, attempts and senders must be at least 1");
            }
            classes = List.copyOf(classes);
            kinds = List.copyOf(kinds);
            zoneFees = List.copyOf(zoneFees);
        }
    }
}
