"""The structs of ``feed.thrift``, written by ``idl.py``."""

from typing import TYPE_CHECKING, Any, ClassVar

from thriftpy2.thrift import TPayload, TType, gen_init


class Struct(TPayload):
    """Any struct: fields by number, and in their order with their defaults."""

    thrift_spec: ClassVar[dict[int, Any]]
    default_spec: ClassVar[list[tuple[str, Any]]]

    if TYPE_CHECKING:
        # Fields, and an __init__ that takes them, are made by ``gen_init``.
        def __init__(self, **fields: Any) -> None: ...

        def __getattr__(self, name: str) -> Any: ...

        def __setattr__(self, name: str, value: Any) -> None: ...


def define_fields(struct: type[Struct], spec: dict[int, Any]) -> None:
    """Give a struct its fields by number; all are optional, None by default."""
    struct.thrift_spec = spec
    struct.default_spec = [(field[1], None) for field in spec.values()]
    gen_init(struct, struct.thrift_spec, struct.default_spec)


class WeightsVersion(Struct):
    """``WeightsVersion`` of the IDL."""


define_fields(
    WeightsVersion,
    {
        1: (TType.STRING, "model", False),
        2: (TType.STRING, "adapter", False),
        3: (TType.I32, "version", False),
    },
)


class EndpointRow(Struct):
    """``EndpointRow`` of the IDL."""


define_fields(
    EndpointRow,
    {
        1: (TType.STRING, "id", False),
        2: (TType.STRING, "service_name", False),
        3: (TType.STRING, "host", False),
        4: (TType.I32, "port", False),
        5: (TType.STRING, "data_centre", False),
        6: (TType.I32, "slots", False),
        7: (TType.BOOL, "leaving", False),
        8: (TType.LIST, "weights", (TType.STRUCT, WeightsVersion), False),
        9: (TType.LIST, "loading", (TType.STRUCT, WeightsVersion), False),
        10: (TType.BOOL, "spared", False),
        11: (TType.I64, "born", False),
        12: (TType.STRING, "software", False),
    },
)


class DemandRow(Struct):
    """``DemandRow`` of the IDL."""


define_fields(
    DemandRow,
    {
        1: (TType.STRING, "service_name", False),
        2: (TType.STRING, "model", False),
        3: (TType.STRING, "adapter", False),
        4: (TType.I32, "arrivals", False),
        5: (TType.I32, "waiting", False),
        6: (TType.I32, "missed", False),
        7: (TType.I32, "timely", False),
        8: (TType.I32, "prompt_tokens", False),
        9: (TType.I32, "sent", False),
        10: (TType.I32, "sent_tokens", False),
    },
)


class UseRow(Struct):
    """``UseRow`` of the IDL."""


define_fields(
    UseRow,
    {
        1: (TType.STRING, "endpoint", False),
        2: (TType.STRING, "model", False),
        3: (TType.STRING, "adapter", False),
        4: (TType.I32, "count", False),
    },
)


class OutcomeRow(Struct):
    """``OutcomeRow`` of the IDL."""


define_fields(
    OutcomeRow,
    {
        1: (TType.STRING, "endpoint", False),
        2: (TType.I32, "whole", False),
        3: (TType.I32, "failed", False),
    },
)


class WeightsChange(Struct):
    """``WeightsChange`` of the IDL."""


define_fields(
    WeightsChange,
    {
        1: (TType.STRING, "id", False),
        2: (TType.LIST, "put", (TType.STRUCT, WeightsVersion), False),
        3: (TType.LIST, "dropped", (TType.STRUCT, WeightsVersion), False),
        4: (TType.LIST, "loading", (TType.STRUCT, WeightsVersion), False),
    },
)


class LeaseRow(Struct):
    """``LeaseRow`` of the IDL."""


define_fields(
    LeaseRow,
    {
        1: (TType.STRING, "data_centre", False),
        2: (TType.I64, "fence", False),
        3: (TType.I64, "revision", False),
        4: (TType.I64, "era", False),
    },
)


class LeaderRow(Struct):
    """``LeaderRow`` of the IDL."""


define_fields(
    LeaderRow,
    {
        1: (TType.STRING, "data_centre", False),
        2: (TType.STRING, "vm", False),
        3: (TType.STRING, "host", False),
        4: (TType.I32, "port", False),
        5: (TType.I64, "fence", False),
    },
)


class SpendingRow(Struct):
    """``SpendingRow`` of the IDL."""


define_fields(
    SpendingRow,
    {
        1: (TType.STRING, "organisation", False),
        2: (TType.I64, "asked", False),
        3: (TType.I64, "granted", False),
    },
)


class WordRow(Struct):
    """``WordRow`` of the IDL."""


define_fields(
    WordRow,
    {
        1: (TType.STRING, "organisation", False),
        2: (TType.DOUBLE, "ratio", False),
        3: (TType.DOUBLE, "asked", False),
        4: (TType.DOUBLE, "wait", False),
        5: (TType.STRING, "keeper_host", False),
        6: (TType.I32, "keeper_port", False),
    },
)


class SightingRow(Struct):
    """``SightingRow`` of the IDL."""


define_fields(
    SightingRow,
    {
        1: (TType.BINARY, "digest", False),
        2: (TType.I64, "outline", False),
        3: (TType.STRING, "life", False),
        4: (TType.DOUBLE, "sent_ago", False),
        5: (TType.DOUBLE, "ended_ago", False),
        6: (TType.BOOL, "answered", False),
        7: (TType.I32, "witness", False),
        8: (TType.LIST, "companions", TType.BINARY, False),
    },
)


class ClearingRow(Struct):
    """``ClearingRow`` of the IDL."""


define_fields(
    ClearingRow,
    {
        1: (TType.BINARY, "digest", False),
        2: (TType.I64, "outline", False),
        3: (TType.DOUBLE, "ago", False),
        4: (TType.I64, "number", False),
    },
)


class NoticeRow(Struct):
    """``NoticeRow`` of the IDL."""


define_fields(
    NoticeRow,
    {
        1: (TType.STRING, "endpoint", False),
        2: (TType.I64, "born", False),
        3: (TType.BOOL, "leaves", False),
        4: (TType.DOUBLE, "rest", False),
        5: (TType.DOUBLE, "limit", False),
        6: (TType.I32, "limit_version", False),
        7: (TType.DOUBLE, "turn_wait", False),
        8: (TType.DOUBLE, "brittle", False),
        9: (TType.I32, "brittle_version", False),
    },
)


class DepartureRow(Struct):
    """``DepartureRow`` of the IDL."""


define_fields(
    DepartureRow,
    {
        1: (TType.STRING, "endpoint", False),
        2: (TType.I64, "born", False),
        3: (TType.I64, "revision", False),
        4: (TType.I64, "era", False),
        5: (TType.BOOL, "certain", False),
    },
)


class WantedRow(Struct):
    """``WantedRow`` of the IDL."""


define_fields(
    WantedRow,
    {
        1: (TType.STRING, "endpoint", False),
        2: (TType.MAP, "counts", (TType.I32, TType.I32), False),
        3: (TType.I32, "received", False),
    },
)


class TurnsRow(Struct):
    """``TurnsRow`` of the IDL."""


define_fields(
    TurnsRow,
    {
        1: (TType.STRING, "endpoint", False),
        2: (TType.LIST, "lasts", TType.DOUBLE, False),
    },
)


class PauseRow(Struct):
    """``PauseRow`` of the IDL."""


define_fields(
    PauseRow,
    {
        1: (TType.STRING, "service_name", False),
        2: (TType.I32, "streams", False),
        3: (TType.I32, "stretched", False),
    },
)


class SpeedRow(Struct):
    """``SpeedRow`` of the IDL."""


define_fields(
    SpeedRow,
    {
        1: (TType.STRING, "endpoint", False),
        2: (TType.I64, "born", False),
        3: (TType.I32, "witness", False),
        4: (TType.I32, "reads", False),
        5: (TType.DOUBLE, "read_sum", False),
        6: (TType.I32, "gaps", False),
        7: (TType.DOUBLE, "gap_sum", False),
        8: (TType.I32, "whole", False),
        9: (TType.I32, "failed", False),
    },
)


class FactorRow(Struct):
    """``FactorRow`` of the IDL."""


define_fields(
    FactorRow,
    {
        1: (TType.STRING, "endpoint", False),
        2: (TType.I64, "born", False),
        3: (TType.DOUBLE, "reading", False),
        4: (TType.DOUBLE, "streaming", False),
        5: (TType.DOUBLE, "share", False),
        6: (TType.DOUBLE, "slow_for", False),
    },
)


class TargetRow(Struct):
    """``TargetRow`` of the IDL."""


define_fields(
    TargetRow,
    {
        1: (TType.STRING, "host", False),
        2: (TType.I32, "port", False),
        3: (TType.STRING, "data_centre", False),
        4: (TType.I32, "load", False),
    },
)


class RegistrarRow(Struct):
    """``RegistrarRow`` of the IDL."""


define_fields(
    RegistrarRow,
    {
        1: (TType.STRING, "host", False),
        2: (TType.I32, "port", False),
        3: (TType.STRING, "data_centre", False),
    },
)


class SoftwareRow(Struct):
    """``SoftwareRow`` of the IDL."""


define_fields(
    SoftwareRow,
    {
        1: (TType.STRING, "service_name", False),
        2: (TType.STRING, "software", False),
        3: (TType.DOUBLE, "age", False),
    },
)


class BoundRow(Struct):
    """``BoundRow`` of the IDL."""


define_fields(
    BoundRow,
    {
        1: (TType.STRING, "service_name", False),
        2: (TType.STRING, "software", False),
        3: (TType.STRING, "model", False),
        4: (TType.STRING, "adapter", False),
        5: (TType.I32, "waiting", False),
    },
)


class Report(Struct):
    """``Report`` of the IDL."""


define_fields(
    Report,
    {
        1: (TType.STRING, "vm", False),
        2: (TType.STRING, "data_centre", False),
        3: (TType.LIST, "leads", TType.STRING, False),
        4: (TType.LIST, "demand", (TType.STRUCT, DemandRow), False),
        5: (TType.MAP, "in_flight", (TType.STRING, TType.I32), False),
        6: (TType.LIST, "uses", (TType.STRUCT, UseRow), False),
        7: (TType.LIST, "refused", (TType.STRUCT, UseRow), False),
        8: (TType.I64, "configuration", False),
        9: (TType.DOUBLE, "store_age", False),
        10: (TType.I32, "daemons", False),
        11: (TType.LIST, "outcomes", (TType.STRUCT, OutcomeRow), False),
        12: (TType.MAP, "unread", (TType.STRING, TType.I32), False),
        13: (TType.DOUBLE, "read_age", False),
        14: (TType.DOUBLE, "stamp", False),
        15: (TType.LIST, "spendings", (TType.STRUCT, SpendingRow), False),
        16: (TType.LIST, "sightings", (TType.STRUCT, SightingRow), False),
        17: (TType.LIST, "clearings", (TType.STRUCT, ClearingRow), False),
        18: (TType.BINARY, "secret", False),
        19: (TType.LIST, "notices", (TType.STRUCT, NoticeRow), False),
        20: (TType.LIST, "wanted", (TType.STRUCT, WantedRow), False),
        21: (TType.BOOL, "follows", False),
        22: (TType.LIST, "pauses", (TType.STRUCT, PauseRow), False),
        30: (TType.LIST, "speeds", (TType.STRUCT, SpeedRow), False),
        23: (TType.BOOL, "keeps_accounts", False),
        24: (TType.LIST, "departures", (TType.STRUCT, DepartureRow), False),
        25: (TType.BOOL, "wants_full", False),
        26: (TType.BOOL, "cut_off", False),
        27: (TType.LIST, "targets", (TType.STRUCT, TargetRow), False),
        28: (TType.DOUBLE, "answer_age", False),
        29: (TType.LIST, "registrars", (TType.STRUCT, RegistrarRow), False),
        31: (TType.LIST, "bound", (TType.STRUCT, BoundRow), False),
        32: (TType.BOOL, "lacks_software", False),
    },
)


class Update(Struct):
    """``Update`` of the IDL."""


define_fields(
    Update,
    {
        1: (TType.STRING, "leader", False),
        2: (TType.LIST, "leads", (TType.STRUCT, LeaseRow), False),
        3: (TType.LIST, "resigned", (TType.STRUCT, LeaseRow), False),
        4: (TType.DOUBLE, "store_age", False),
        5: (TType.BOOL, "whole", False),
        6: (TType.LIST, "rows", (TType.STRUCT, EndpointRow), False),
        7: (TType.LIST, "changes", (TType.STRUCT, WeightsChange), False),
        8: (TType.LIST, "gone", TType.STRING, False),
        9: (TType.LIST, "versions", (TType.STRUCT, WeightsVersion), False),
        10: (TType.MAP, "in_flight", (TType.STRING, TType.I32), False),
        11: (TType.DOUBLE, "load_wait", False),
        12: (TType.I32, "daemons", False),
        13: (TType.I64, "configuration_version", False),
        14: (TType.BINARY, "configuration", False),
        15: (TType.LIST, "leaders", (TType.STRUCT, LeaderRow), False),
        16: (TType.MAP, "unread", (TType.STRING, TType.I32), False),
        17: (TType.I32, "room", False),
        18: (TType.DOUBLE, "echo", False),
        19: (TType.DOUBLE, "known_by", False),
        20: (TType.LIST, "words", (TType.STRUCT, WordRow), False),
        21: (TType.BINARY, "secret", False),
        22: (TType.LIST, "sightings", (TType.STRUCT, SightingRow), False),
        23: (TType.LIST, "clearings", (TType.STRUCT, ClearingRow), False),
        24: (TType.DOUBLE, "echo_age", False),
        25: (TType.LIST, "notices", (TType.STRUCT, NoticeRow), False),
        26: (TType.LIST, "turns", (TType.STRUCT, TurnsRow), False),
        27: (TType.LIST, "paced", TType.STRING, False),
        28: (TType.DOUBLE, "endpoints_known_by", False),
        29: (TType.I64, "endpoints_revision", False),
        30: (TType.I64, "endpoints_era", False),
        31: (TType.BOOL, "complete", False),
        32: (TType.LIST, "departures", (TType.STRUCT, DepartureRow), False),
        33: (TType.LIST, "present", TType.STRING, False),
        35: (TType.LIST, "factors", (TType.STRUCT, FactorRow), False),
        36: (TType.LIST, "targets", (TType.STRUCT, TargetRow), False),
        37: (TType.LIST, "registrars", (TType.STRUCT, RegistrarRow), False),
        38: (TType.LIST, "software", (TType.STRUCT, SoftwareRow), False),
        39: (TType.DOUBLE, "software_known_for", False),
        40: (TType.DOUBLE, "versions_known_by", False),
    },
)


class PromptRow(Struct):
    """``PromptRow`` of the IDL."""


define_fields(
    PromptRow,
    {
        1: (TType.I64, "number", False),
        2: (TType.I32, "tokens", False),
        3: (TType.I32, "urgency", False),
        4: (TType.STRING, "organisation", False),
        5: (TType.DOUBLE, "waited", False),
        6: (TType.DOUBLE, "begin_in", False),
        7: (TType.DOUBLE, "give_up_in", False),
        8: (TType.BOOL, "reading", False),
    },
)


class TurnsAsked(Struct):
    """``TurnsAsked`` of the IDL."""


define_fields(
    TurnsAsked,
    {
        1: (TType.STRING, "endpoint", False),
        2: (TType.LIST, "prompts", (TType.STRUCT, PromptRow), False),
    },
)


class TurnsGranted(Struct):
    """``TurnsGranted`` of the IDL."""


define_fields(
    TurnsGranted,
    {
        1: (TType.STRING, "endpoint", False),
        2: (TType.LIST, "numbers", TType.I64, False),
        3: (TType.MAP, "waits", (TType.I64, TType.DOUBLE), False),
    },
)


class QuotaAsked(Struct):
    """``QuotaAsked`` of the IDL."""


define_fields(
    QuotaAsked,
    {
        1: (TType.I64, "number", False),
        2: (TType.STRING, "organisation", False),
        3: (TType.I64, "content", False),
        4: (TType.I64, "units", False),
        5: (TType.DOUBLE, "patience", False),
    },
)


class QuotaAnswered(Struct):
    """``QuotaAnswered`` of the IDL."""


define_fields(
    QuotaAnswered,
    {
        1: (TType.I64, "number", False),
        2: (TType.BOOL, "granted", False),
        3: (TType.DOUBLE, "wait", False),
        4: (TType.BOOL, "reserved", False),
    },
)


class StreamRow(Struct):
    """``StreamRow`` of the IDL."""


define_fields(
    StreamRow,
    {
        1: (TType.BINARY, "name", False),
        2: (TType.STRING, "service_name", False),
        3: (TType.STRING, "software", False),
        4: (TType.DOUBLE, "lasts", False),
    },
)


class StreamAsked(Struct):
    """``StreamAsked`` of the IDL."""


define_fields(
    StreamAsked,
    {
        1: (TType.I64, "number", False),
        2: (TType.BINARY, "name", False),
        3: (TType.STRING, "service_name", False),
    },
)


class StreamAnswered(Struct):
    """``StreamAnswered`` of the IDL."""


define_fields(
    StreamAnswered,
    {
        1: (TType.I64, "number", False),
        2: (TType.STRUCT, "stream", StreamRow, False),
        3: (TType.STRING, "only_software", False),
        4: (TType.DOUBLE, "list_age", False),
    },
)


class SlotRow(Struct):
    """``SlotRow`` of the IDL."""


define_fields(
    SlotRow,
    {
        1: (TType.I32, "number", False),
        2: (TType.I32, "urgency", False),
        3: (TType.DOUBLE, "waited", False),
    },
)


class SlotsAsked(Struct):
    """``SlotsAsked`` of the IDL."""


define_fields(
    SlotsAsked,
    {
        1: (TType.STRING, "endpoint", False),
        2: (TType.LIST, "held", TType.I32, False),
        3: (TType.LIST, "waiting", (TType.STRUCT, SlotRow), False),
        4: (TType.I32, "queued", False),
        5: (TType.I32, "rejected", False),
        6: (TType.I32, "serial", False),
        7: (TType.DOUBLE, "bears", False),
    },
)


class SlotsLent(Struct):
    """``SlotsLent`` of the IDL."""


define_fields(
    SlotsLent,
    {
        1: (TType.STRING, "endpoint", False),
        2: (TType.I32, "serial", False),
        3: (TType.LIST, "numbers", TType.I32, False),
        4: (TType.DOUBLE, "duration", False),
        5: (TType.I32, "room", False),
        6: (TType.I32, "queued", False),
        7: (TType.I32, "rejected", False),
        8: (TType.I32, "free", False),
    },
)


class Datagram(Struct):
    """``Datagram`` of the IDL."""


define_fields(
    Datagram,
    {
        1: (TType.STRING, "vm", False),
        2: (TType.I64, "boot", False),
        3: (TType.I64, "serial", False),
        4: (TType.STRUCT, "turns_asked", TurnsAsked, False),
        5: (TType.STRUCT, "turns_granted", TurnsGranted, False),
        6: (TType.LIST, "quota_asked", (TType.STRUCT, QuotaAsked), False),
        7: (TType.LIST, "quota_answered", (TType.STRUCT, QuotaAnswered), False),
        8: (TType.LIST, "streams", (TType.STRUCT, StreamRow), False),
        9: (TType.LIST, "stream_asked", (TType.STRUCT, StreamAsked), False),
        10: (TType.LIST, "stream_answered", (TType.STRUCT, StreamAnswered), False),
        11: (TType.STRUCT, "slots_asked", SlotsAsked, False),
        12: (TType.STRUCT, "slots_lent", SlotsLent, False),
    },
)
