"""Messages about crash evidence and quarantines between entry VMs."""

import msgspec

from balsamtally.crash_evidence import BegunPart, Implication, PartGroup
from balsamtally.decoding import Count, Seconds


class Candidate(msgspec.Struct, frozen=True, array_like=True):
    """Parts that an entry VM is about to quarantine.

    :ivar service: service whose backend servers crashed
    :ivar parts: keys of the parts
    """

    service: str
    parts: PartGroup


class QuarantineState(msgspec.Struct, frozen=True, array_like=True):
    """A quarantine as entry VMs tell it to each other.

    :ivar parts: keys of the parts; a prompt that holds all of them isn't sent
    :ivar service: service whose backend servers crashed
    :ivar generation: increases with each renewal; the highest one is in force
    :ivar hold_s: duration of this generation in seconds
    :ivar left_s: time until a call may probe the parts, in seconds
    :ivar released: whether the parts were released
    """

    parts: PartGroup
    service: str
    generation: Count
    hold_s: Seconds
    left_s: Seconds
    released: bool


class QuarantineUpdate(msgspec.Struct, frozen=True, array_like=True, tag="quarantine"):
    """What an entry VM tells its peers about crashes.

    :ivar vm: name of the sender
    :ivar implications: calls of the sender that were at backend servers as these crashed
    :ivar begun: parts that the receiver suspects and of which the sender saw an answer begin
    :ivar states: the quarantines that the sender knows
    :ivar candidates: parts that the sender is about to quarantine
    """

    vm: str
    implications: tuple[Implication, ...] = ()
    begun: tuple[BegunPart, ...] = ()
    states: tuple[QuarantineState, ...] = ()
    candidates: tuple[Candidate, ...] = ()
