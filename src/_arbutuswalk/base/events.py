"""Numbered log events, catalogued in ``docs/events.md``."""

import enum
import logging as standard_logging
import re

from absl import logging

from _arbutuswalk.base import clock
from _arbutuswalk.base import structured_log

MAX_LIBRARY_MESSAGE_CHARACTERS = 500
_FIELD_PATTERN = re.compile(r"(\w+)=%s")


class Event(enum.Enum):
    """Number and message format of each event, with ``%s`` for each field."""

    PROCESS_STARTED = (100, "started role=%s id=%s address=%s")
    PROCESS_DRAINING = (101, "draining role=%s id=%s")
    PROCESS_STOPPED = (102, "stopped role=%s id=%s")
    STATE_DUMPED = (103, "state dump written path=%s")
    TASK_FAILED = (104, "background task failed name=%s error=%s")
    PROCESS_STALLED = (105, "process stood still for_s=%s")
    LINK_OPENED = (200, "link opened to=%s")
    LINK_REPLACED = (201, "link replaced to=%s reason=%s")
    FRAME_REFUSED = (202, "frame refused from=%s reason=%s")
    MESSAGE_UNKNOWN = (203, "message of a later build skipped from=%s")
    PEER_DISCONNECTED = (204, "peer disconnected from=%s reason=%s")
    LOG_RECOVERED = (300, "log recovered first=%s last=%s snapshot=%s")
    LOG_TAIL_CUT = (301, "torn log tail truncated file=%s offset=%s")
    STORAGE_FAILED = (302, "storage failed reason=%s")
    SNAPSHOT_WRITTEN = (303, "snapshot written index=%s bytes=%s")
    LOG_ENTRY_SKIPPED = (304, "log entry of a later build skipped index=%s")
    TERM_CHANGED = (400, "term=%s role=%s leader=%s")
    MEMBERS_CHANGED = (401, "voters=%s learners=%s")
    SNAPSHOT_INSTALLED = (402, "snapshot installed index=%s")
    SNAPSHOT_REFUSED = (406, "snapshot too large leader=%s bytes=%s")
    QUORUM_LOST = (
        403,
        "no majority of voters answers term=%s voters=%s silent_s=%s"
        " joining=%s",
    )
    MEMBER_SEEN = (404, "member seen id=%s group=%s")
    MEMBERSHIP_CHANGE_STARTED = (
        405,
        "membership change started change=%s member=%s reason=%s silent_s=%s",
    )
    CONFIG_ACCEPTED = (500, "configuration accepted revision=%s")
    ENTRY_REGISTERED = (501, "entry registered id=%s incarnation=%s")
    ENTRY_LOST = (502, "entry lost id=%s incarnation=%s")
    MOVE_CHANGED = (503, "move=%s state=%s reason=%s")
    FLEET_ORDER = (504, "fleet order=%s instance=%s outcome=%s")
    SUSPECT_CONVICTED = (505, "request quarantined fingerprint=%s until=%s")
    LEASE_GAINED = (600, "entry lease gained revision=%s")
    LEASE_LOST = (601, "entry lease lost revision=%s")
    UPSTREAM_JOINED = (602, "upstream joined id=%s incarnation=%s")
    UPSTREAM_LEAVING = (603, "upstream leaving id=%s")
    UPSTREAM_GONE = (604, "upstream gone id=%s reason=%s")
    ATTEMPT_FAILED = (605, "attempt failed request=%s upstream=%s reason=%s")
    STREAM_CONTINUED = (606, "stream continued request=%s upstream=%s at=%s")
    REQUEST_REFUSED = (607, "request refused request=%s reason=%s")
    CALL_UNKNOWN = (608, "call outcome unknown key=%s upstream=%s")
    COPY_ADOPTED = (609, "request copy taken over request=%s owner=%s")
    VERSION_CUT_OFF = (610, "version cut off upstream=%s version=%s route=%s")
    ANNOUNCE_REFUSED = (611, "announcement refused id=%s reason=%s")
    DEATH_UNREPORTED = (613, "death report unanswered id=%s reason=%s")
    PEER_UNINFORMED = (614, "update not sent peer=%s reason=%s")
    INQUIRY_UNANSWERED = (
        612,
        "inquiry unanswered upstream=%s peer=%s reason=%s",
    )

    ENDPOINT_CHANGED = (
        650,
        "endpoint changed id=%s upstream=%s version=%s state=%s born=%s"
        " sequence=%s address=%s configured=%s",
    )
    ENDPOINT_DISPLACED = (
        718,
        "endpoint displaced id=%s upstream=%s born=%s by=%s address=%s",
    )
    ENDPOINT_FORGOTTEN = (651, "endpoint removed id=%s")
    ROUTES_IN_FORCE = (653, "routes in force version=%s before=%s source=%s")
    ANSWERED = (
        654,
        "request answered request=%s route=%s upstream=%s endpoint=%s"
        " status=%s runs=%s first_ms=%s ms=%s body_end=%s rest_bytes=%s",
    )
    FAILED = (
        655,
        "request failed request=%s route=%s upstream=%s endpoint=%s status=%s"
        " reason=%s runs=%s ms=%s decision=%s inputs=%s",
    )
    REFUSED = (
        656,
        "request refused request=%s route=%s status=%s reason=%s ms=%s"
        " routes_version=%s decision=%s inputs=%s",
    )
    ATTEMPT_ENDED = (
        657,
        "attempt ended request=%s endpoint=%s outcome=%s reason=%s ms=%s",
    )
    RESUMED = (658, "stream resumed request=%s endpoint=%s after=%s")
    CALLER_LEFT = (
        659,
        "caller disconnected request=%s route=%s endpoint=%s ms=%s",
    )
    BROKEN_OFF = (
        660,
        "answer aborted request=%s route=%s endpoint=%s reason=%s ms=%s"
        " decision=%s inputs=%s",
    )
    ANSWER_GIVEN_UP = (704, "unread answer given up request=%s bytes=%s")
    ENTRY_CAPACITIES = (
        705,
        "capacities of ready entries entries=%s stated=%s smallest_cores=%s"
        " largest_cores=%s",
    )
    CONTROL_LOST = (661, "control connection lost address=%s reason=%s")
    CONTROL_FOUND = (662, "control connection established address=%s term=%s")
    DUTY_CALL = (
        663,
        "duty call duty=%s subject=%s fence=%s value=%s outcome=%s term=%s",
    )
    ROLLOUT_STEPPED = (
        664,
        "rollout stepped upstream=%s target=%s state=%s share=%s reason=%s",
    )
    OPERATOR_CALL = (665, "operator call name=%s outcome=%s detail=%s")
    ENDPOINT_SUSPECT = (666, "endpoint suspected id=%s reason=%s")
    SETTINGS_RELOADED = (667, "settings reloaded outcome=%s")
    DISK_REFUSED = (668, "disk write failed reason=%s")
    ANNOUNCEMENT_UNACKNOWLEDGED = (
        719,
        "announcement not acknowledged id=%s reason=%s",
    )
    ANNOUNCEMENT_BAD = (669, "announcement invalid id=%s reason=%s")
    DEATH_NOTED = (
        670,
        "endpoint crash recorded request=%s endpoint=%s born=%s keys=%s",
    )
    ROUTES_UNREADABLE = (
        671,
        "routes could not be decoded address=%s reason=%s",
    )
    ENDPOINTS_UNREADABLE = (672, "endpoint cache could not be read reason=%s")
    ENDPOINT_INVALID = (693, "endpoint invalid source=%s reason=%s")
    ENTRY_COUNT_UNREADABLE = (
        675,
        "entry count could not be read reason=%s",
    )
    QUOTA_STARTED = (
        673,
        "quota bucket created workspace=%s level=%s burst=%s entries=%s",
    )
    QUOTA_USE_FELL = (
        674,
        "reported quota use fell workspace=%s address=%s total=%s before=%s",
    )
    ENDPOINT_LIMIT_CHANGED = (
        676,
        "endpoint limit changed endpoint=%s limit=%s before=%s source=%s",
    )
    PERMIT_SOURCE_CHANGED = (
        678,
        "permits for limited endpoints source=%s entries=%s reason=%s",
    )
    ENDPOINT_LIMIT_INVALID = (677, "endpoint limit invalid value=%s")
    ENDPOINT_WARMS_UP = (
        702,
        "endpoint warms up endpoint=%s born=%s left_s=%s limit=%s source=%s",
    )
    ENDPOINT_LEAVING = (680, "endpoint leaving endpoint=%s born=%s source=%s")
    ENDPOINT_LEAVING_INVALID = (
        681,
        "endpoint leaving invalid endpoint=%s born=%s value=%s",
    )
    ENDPOINT_PAUSED = (
        685,
        "endpoint asked for a pause request=%s endpoint=%s pause_s=%s"
        " ends_in_s=%s",
    )
    ENDPOINT_PAUSE_INVALID = (
        686,
        "endpoint pause invalid endpoint=%s value=%s",
    )
    UNEXPECTED_BYTES = (
        679,
        "unexpected bytes after an answer address=%s reason=%s",
    )
    LIMIT_IGNORED = (
        682,
        "limit of a configuration ignored limit=%s value=%s",
    )
    CRASHES_BLAMED = (
        687,
        "refused as it crashes endpoints key=%s deaths=%s last_success_s=%s",
    )
    LIBRARY_MESSAGE = (
        688,
        "message of a library logger=%s level=%s message=%s error=%s",
    )
    CALLER_TIMED_OUT = (
        684,
        "caller connection timed out caller=%s busy=%s write_paused=%s",
    )
    ATTEMPT_OVERTAKEN = (
        689,
        "attempt overtaken request=%s endpoint=%s by=%s after_ms=%s"
        " extra_won=%s",
    )
    PATH_LOST = (
        690,
        "path to endpoints lost reason=%s endpoints=%s peers=%s",
    )
    PATH_RESTORED = (691, "path to endpoints restored after_s=%s")
    TUNNEL_FAILED = (692, "tunnel failed peer=%s endpoint=%s reason=%s")
    ENDPOINT_BRITTLE_CHANGED = (
        699,
        "endpoint brittle changed endpoint=%s rejections_per_s=%s before=%s"
        " source=%s",
    )
    ENDPOINT_BRITTLE_INVALID = (
        700,
        "endpoint brittle invalid endpoint=%s value=%s",
    )
    SLOT_SOURCE_CHANGED = (
        701,
        "slots of brittle endpoints source=%s entries=%s reason=%s",
    )
    EVACUATION_ORDERED = (
        710,
        "evacuation ordered domain=%s order=%s outcome=%s step=%s",
    )
    EVACUATION_IN_FORCE = (
        711,
        "evacuation in force domain=%s state=%s step=%s source=%s",
    )
    LATE_REFUSED = (
        712,
        "late request refused request=%s upstream=%s workspace=%s priority=%s"
        " endpoint=%s estimate_ms=%s limit_ms=%s wait_ms=%s excess=%s"
        " priorities=%s retry_after_s=%s",
    )
    CLIENT_REFUSED = (720, "client refused caller=%s status=%s reason=%s")
    ENDPOINT_SPEED_CHANGED = (
        706,
        "endpoint speed changed endpoint=%s slowness=%s before=%s",
    )
    WORKSPACE_SHARE_CHANGED = (
        707,
        "workspace share changed upstream=%s workspace=%s excess=%s asked=%s "
        "admitted=%s entries=%s",
    )
    SIZING_CHANGED = (
        717,
        "sizing changed upstream=%s reclaimable=%s on_demand=%s bound=%s"
        " read_ms=%s pace_ms=%s objective_ms=%s",
    )
    HEAD_REFUSED = (683, "request head refused caller=%s status=%s reason=%s")

    @property
    def number(self) -> int:
        """The event's number, which stays the same between releases."""
        return self.value[0]

    @property
    def message(self) -> str:
        """The event's message format."""
        return self.value[1]


def log(event: Event, *fields: object) -> None:
    """Logs ``event`` as a structured line if enabled, else at info level."""
    if structured_log.current_writer() is not None:
        record(event, *fields)
        return
    logging.info("E%d " + event.message, event.number, *fields)


def warn(event: Event, *fields: object) -> None:
    """Logs ``event`` as a structured line if enabled, else as a warning."""
    if structured_log.current_writer() is not None:
        record(event, *fields)
        return
    logging.warning("E%d " + event.message, event.number, *fields)


class LibraryLogHandler(standard_logging.Handler):
    """Turns what libraries log into structured lines, without tracebacks."""

    def emit(self, log_record: standard_logging.LogRecord) -> None:
        """Writes one record of the standard library's logging."""
        error = log_record.exc_info[1] if log_record.exc_info else None
        record(
            Event.LIBRARY_MESSAGE,
            log_record.name,
            log_record.levelname,
            log_record.getMessage()[:MAX_LIBRARY_MESSAGE_CHARACTERS],
            repr(error)[:MAX_LIBRARY_MESSAGE_CHARACTERS] if error else "",
        )


def start_structured_log(descriptor: int) -> structured_log.Writer:
    """Writes all events, and what libraries log, to ``descriptor``."""
    writer = structured_log.start(descriptor)
    root = standard_logging.getLogger()
    root.handlers[:] = [LibraryLogHandler()]
    return writer


def record(event: Event, *fields: object) -> None:
    """Writes ``event`` as one structured line if the structured log is on."""
    writer = structured_log.current_writer()
    if writer is None:
        return
    names = _FIELD_PATTERN.findall(event.message)
    fields_by_name = {
        "at": round(clock.wall(), 3),
        "event": event.number,
        "name": event.name.lower(),
        **dict(zip(names, fields, strict=True)),
    }
    writer.write(event.number, fields_by_name)
