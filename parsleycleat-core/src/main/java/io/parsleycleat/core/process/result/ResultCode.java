package io.parsleycleat.core.process.result;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The numbered results of requests, operators' calls and settings checks.
 *
 * <p>Numbers are never reused. The table in docs/RESULT-CODES.md lists the same codes.
 */
public enum ResultCode {
    DONE(0, ResultClass.DONE, 200, "The request ran and its answer is whole."),

    KEY_MISSING(1001, ResultClass.NOT_RUN, 401, "The route needs a key and the request has none."),
    KEY_UNKNOWN(1002, ResultClass.NOT_RUN, 401, "The key is not known."),
    KEY_WITHDRAWN(1003, ResultClass.NOT_RUN, 401, "The key was withdrawn."),
    ROUTE_UNKNOWN(1004, ResultClass.NOT_RUN, 404, "There is no such route."),
    ADAPTER_UNKNOWN(1005, ResultClass.NOT_RUN, 404, "The account has no such adapter."),
    VERSION_UNKNOWN(1006, ResultClass.NOT_RUN, 404, "The adapter has no such version."),
    METHOD_NOT_ALLOWED(1007, ResultClass.NOT_RUN, 405, "The route does not take this method."),
    REQUEST_MALFORMED(1008, ResultClass.NOT_RUN, 400, "The request cannot be understood."),
    REQUEST_TOO_LARGE(1009, ResultClass.NOT_RUN, 413, "The request body is larger than allowed."),
    HEADERS_TOO_LARGE(1010, ResultClass.NOT_RUN, 431, "The request headers are larger than allowed."),
    REQUEST_TOO_SLOW(1011, ResultClass.NOT_RUN, 408, "The request did not arrive in time."),
    TOO_MANY_CONNECTIONS(1012, ResultClass.NOT_RUN, 503, "The entry has no connection left for the caller."),
    RATE_EXCEEDED(1020, ResultClass.NOT_RUN, 429, "The account is above its rate."),
    REQUEST_ABOVE_BURST(1021, ResultClass.NOT_RUN, 422, "The request needs more tokens than the account's burst."),
    LIMIT_UNAVAILABLE(1022, ResultClass.NOT_RUN, 503, "No process that holds the account's budget can be reached."),
    EPOCH_STALE(1023, ResultClass.NOT_RUN, 503, "The token reservation is of an earlier epoch."),
    QUEUE_FULL(1030, ResultClass.NOT_RUN, 503, "The queue before the upstream is full."),
    DEADLINE_UNREACHABLE(1031, ResultClass.NOT_RUN, 503, "The request cannot start before its deadline."),
    NO_UPSTREAM(1032, ResultClass.NOT_RUN, 503, "No upstream for the request can be reached."),
    UPSTREAM_UNREACHABLE(1033, ResultClass.NOT_RUN, 503, "The upstream cannot be reached."),
    UPSTREAM_LEAVING(1034, ResultClass.NOT_RUN, 503, "The upstream is leaving and takes nothing new."),
    LOAD_FAILED(1035, ResultClass.NOT_RUN, 503, "The adapter could not be loaded."),
    PROCESS_STOPPING(1036, ResultClass.NOT_RUN, 503, "The process is stopping and takes nothing new."),
    CUT_OFF(1037, ResultClass.NOT_RUN, 503, "The process is cut off and cannot know withdrawn keys."),
    NOT_READY(1038, ResultClass.NOT_RUN, 503, "The process has no configuration yet."),
    CALLER_GONE(1039, ResultClass.NOT_RUN, 499, "The caller left before the request ran."),
    IDEMPOTENCY_KEY_MISSING(1040, ResultClass.NOT_RUN, 400, "The request may not be repeated and needs a key."),
    IDEMPOTENCY_KEY_MALFORMED(1041, ResultClass.NOT_RUN, 400, "The idempotency key is not a UUID of version 7."),
    IDEMPOTENCY_KEY_EXPIRED(1042, ResultClass.NOT_RUN, 400, "The idempotency key is older than the window."),
    IDEMPOTENCY_KEY_FUTURE(1043, ResultClass.NOT_RUN, 400, "The idempotency key is from the future."),
    IDEMPOTENCY_KEY_REUSED(1044, ResultClass.NOT_RUN, 422, "The idempotency key was used with another request."),
    LOG_UNAVAILABLE(1045, ResultClass.NOT_RUN, 503, "The log cannot record the request before it runs."),
    QUARANTINED(1046, ResultClass.NOT_RUN, 422, "The request crashed upstreams and is in quarantine."),
    LEASE_LAPSED(1047, ResultClass.NOT_RUN, 503, "The side no longer holds its upstream."),
    UPSTREAM_REFUSED(1048, ResultClass.NOT_RUN, 503, "The upstream refused the request before running it."),
    FAILURE_BEFORE_RUN(1049, ResultClass.NOT_RUN, 500, "An unexpected failure before the run; see the process's log."),

    SUSPECT_REFUSED(1050, ResultClass.NOT_RUN, 503, "The request crashed upstreams and is not sent to another."),
    UPSTREAM_LIMITED(1051, ResultClass.NOT_RUN, 503, "The upstream takes no more requests a second."),
    BODIES_FILL_MEMORY(1052, ResultClass.NOT_RUN, 503, "The bodies of other requests take the memory for them."),

    UPSTREAM_CRASHED(2001, ResultClass.MAY_HAVE_RUN, 502, "The upstream crashed while the request ran."),
    UPSTREAM_LOST(2002, ResultClass.MAY_HAVE_RUN, 502, "The connection to the upstream was lost."),
    SIDE_LOST(2003, ResultClass.MAY_HAVE_RUN, 502, "The connection to the side was lost."),
    ATTEMPT_IN_PROGRESS(2004, ResultClass.MAY_HAVE_RUN, 409, "An earlier attempt with this key is still running."),
    OUTCOME_UNKNOWN(2005, ResultClass.MAY_HAVE_RUN, 409, "An earlier attempt with this key may have run."),
    ANSWER_INCOMPLETE(2006, ResultClass.MAY_HAVE_RUN, 502, "The answer could not be completed."),
    DEADLINE_PASSED(2007, ResultClass.MAY_HAVE_RUN, 504, "The deadline passed while the request ran."),
    CANCELLED(2008, ResultClass.MAY_HAVE_RUN, 499, "The caller left while the request ran."),
    FAILURE_UNEXPECTED(2009, ResultClass.MAY_HAVE_RUN, 500, "An unexpected failure; see the process's log."),
    OUTCOME_TOO_LARGE(2010, ResultClass.MAY_HAVE_RUN, 409, "An earlier attempt ran; its answer was too large to keep."),

    SETTINGS_UNREADABLE(3001, ResultClass.CONFIGURATION, 400, "The settings file cannot be read as JSON."),
    SETTINGS_FIELD_UNKNOWN(3002, ResultClass.CONFIGURATION, 400, "There is no such settings field."),
    SETTINGS_FIELD_MISSING(3003, ResultClass.CONFIGURATION, 400, "A settings field that has no default is missing."),
    SETTINGS_TYPE_WRONG(3004, ResultClass.CONFIGURATION, 400, "A settings field has the wrong type."),
    SETTINGS_OUT_OF_RANGE(3005, ResultClass.CONFIGURATION, 400, "A settings field is out of its range."),
    SETTINGS_ID_DUPLICATE(3006, ResultClass.CONFIGURATION, 400, "An id stands twice in the settings."),
    SETTINGS_NOT_AN_ADDRESS(3007, ResultClass.CONFIGURATION, 400, "A settings field is not an IP address and port."),
    ADDRESS_IN_USE(3008, ResultClass.CONFIGURATION, 400, "A listening address cannot be bound."),
    CHANGE_CONFLICT(3010, ResultClass.CONFIGURATION, 409, "Another change of the same item came first."),
    CHANGE_INVALID(3011, ResultClass.CONFIGURATION, 400, "The change is not valid."),
    CHANGE_UNKNOWN(3012, ResultClass.CONFIGURATION, 503, "The log did not answer; ask again with this change id."),
    OPERATOR_KEY_REFUSED(3013, ResultClass.CONFIGURATION, 401, "The operator key is missing, unknown or withdrawn."),
    CHANGE_NOT_RECORDED(3014, ResultClass.CONFIGURATION, 202, "The change is in force but not yet in the log."),

    LOG_OUT(4001, ResultClass.INTERNAL, 503, "The log does not answer."),
    LOG_TRIMMED(4002, ResultClass.INTERNAL, 410, "The log no longer keeps the records asked for."),
    WEIGHT_STORE_OUT(4003, ResultClass.INTERNAL, 503, "The weight store does not answer."),
    VM_LIST_OUT(4004, ResultClass.INTERNAL, 503, "The VM list does not answer."),
    PLATFORM_ANSWER_MALFORMED(4005, ResultClass.INTERNAL, 502, "The platform's answer cannot be understood."),
    SNAPSHOT_DAMAGED(4006, ResultClass.INTERNAL, 502, "A snapshot does not match its hash."),
    PEER_UNREACHABLE(4010, ResultClass.INTERNAL, 503, "The other process cannot be reached."),
    PEER_TIMEOUT(4011, ResultClass.INTERNAL, 504, "The other process did not answer in time."),
    FRAME_MALFORMED(4012, ResultClass.INTERNAL, 400, "A frame from another process cannot be understood."),
    ORDER_FENCED(4013, ResultClass.INTERNAL, 409, "The upstream refused an order with an old fencing number."),
    UPSTREAM_OUT(4014, ResultClass.INTERNAL, 503, "The upstream does not answer its side.");

    private static final Map<Integer, ResultCode> BY_NUMBER =
            Arrays.stream(values()).collect(Collectors.toUnmodifiableMap(ResultCode::number, Function.identity()));

    private final int number;
    private final ResultClass resultClass;
    private final int httpStatus;
    private final String meaning;

    ResultCode(int number, ResultClass resultClass, int httpStatus, String meaning) {
        this.number = number;
        this.resultClass = resultClass;
        this.httpStatus = httpStatus;
        this.meaning = meaning;
    }

    /** Returns the code with this number, if there is one. */
    public static Optional<ResultCode> ofNumber(int number) {
        return Optional.ofNullable(BY_NUMBER.get(number));
    }

    /** Returns the number that stands in answers and logs. */
    public int number() {
        return number;
    }

    /** Returns what the code tells about the request. */
    public ResultClass resultClass() {
        return resultClass;
    }

    /** Returns the HTTP status of an answer with this code. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Returns the sentence that the documents give for the code. */
    public String meaning() {
        return meaning;
    }

    /** Returns whether the request certainly did not run. */
    public boolean isNotRun() {
        return resultClass == ResultClass.NOT_RUN;
    }
}
