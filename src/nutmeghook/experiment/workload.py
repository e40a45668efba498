"""Generates the users' kinds of work as random requests from a seed."""

import dataclasses
import random

from nutmeghook.experiment import history


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Assignment:
    """One piece of work to be performed.

    Attributes:
        target: The template, or for plain services the path below
            `/services/`.
    """

    marker: str
    kind: history.WorkKind
    team: str
    target: str
    session: str
    key: str
    streamed: bool
    once: bool
    prompt_words: int
    max_tokens: int


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class WorkProfile:
    """The parameters of one kind of work.

    Attributes:
        share: Relative frequency.
        keyed_share: Share of requests with an idempotency key.
        session_share: Share of requests that belong to a session.
    """

    kind: history.WorkKind
    target: str
    share: float
    streamed_share: float
    keyed_share: float
    session_share: float
    prompt_words: int
    max_tokens: int
    once: bool = False


AGENCY_WORK: tuple[WorkProfile, ...] = (
    WorkProfile(
        kind=history.WorkKind.LOOKUP,
        target="certificate-lookup",
        share=0.6,
        streamed_share=0.5,
        keyed_share=0.3,
        session_share=0.8,
        prompt_words=40,
        max_tokens=24,
    ),
    WorkProfile(
        kind=history.WorkKind.DOSSIER_REVIEW,
        target="dossier-review",
        share=0.15,
        streamed_share=0.7,
        keyed_share=0.5,
        session_share=0.7,
        prompt_words=300,
        max_tokens=80,
    ),
    WorkProfile(
        kind=history.WorkKind.PLAIN_READ,
        target="registry/certificates",
        share=0.15,
        streamed_share=0.0,
        keyed_share=0.0,
        session_share=0.0,
        prompt_words=0,
        max_tokens=0,
    ),
    WorkProfile(
        kind=history.WorkKind.PLAIN_BOOKING,
        target="registry/findings",
        share=0.1,
        streamed_share=0.0,
        keyed_share=1.0,
        session_share=0.0,
        prompt_words=0,
        max_tokens=0,
        once=True,
    ),
)
AIRLINE_WORK: tuple[WorkProfile, ...] = (
    WorkProfile(
        kind=history.WorkKind.LEGALITY_CHECK,
        target="legality-check",
        share=0.6,
        streamed_share=0.5,
        keyed_share=0.3,
        session_share=0.8,
        prompt_words=60,
        max_tokens=24,
    ),
    WorkProfile(
        kind=history.WorkKind.FULL_REBUILD,
        target="full-rebuild",
        share=0.15,
        streamed_share=0.7,
        keyed_share=0.5,
        session_share=0.7,
        prompt_words=250,
        max_tokens=100,
    ),
    WorkProfile(
        kind=history.WorkKind.PLAIN_READ,
        target="scheduler/pairings",
        share=0.1,
        streamed_share=0.0,
        keyed_share=0.0,
        session_share=0.0,
        prompt_words=0,
        max_tokens=0,
    ),
    WorkProfile(
        kind=history.WorkKind.PLAIN_BOOKING,
        target="scheduler/bookings",
        share=0.15,
        streamed_share=0.0,
        keyed_share=1.0,
        session_share=0.0,
        prompt_words=0,
        max_tokens=0,
        once=True,
    ),
)
# Lengths of concurrent sessions, in pieces of work of all teams. Short ones
# begin throughout a run, since only new sessions may get a version that is
# rolling out. Long ones are still open after its withdrawal.
SESSION_LENGTHS_WORKS = (150, 420)


class Workload:
    """Draws assignments for the teams of both users."""

    __slots__ = ("_count", "_randomness", "_run_name", "_teams")

    def __init__(
        self,
        *,
        randomness: random.Random,
        run_name: str,
        agency_teams: tuple[str, ...],
        airline_teams: tuple[str, ...],
    ):
        self._randomness = randomness
        self._run_name = run_name
        self._teams = [(team, AGENCY_WORK) for team in agency_teams]
        self._teams += [(team, AIRLINE_WORK) for team in airline_teams]
        self._count = 0

    def draw(self) -> Assignment:
        """Returns the next piece of work."""
        self._count += 1
        marker = f"w{self._run_name}x{self._count:06d}"
        team, kinds = self._randomness.choice(self._teams)
        kind = self._randomness.choices(
            kinds, weights=[kind.share for kind in kinds]
        )[0]
        return Assignment(
            marker=marker,
            kind=kind.kind,
            team=team,
            target=kind.target,
            session=self._session(team, kind),
            key=f"key-{marker}" if self._chance(kind.keyed_share) else "",
            streamed=self._chance(kind.streamed_share),
            once=kind.once,
            prompt_words=kind.prompt_words,
            max_tokens=kind.max_tokens,
        )

    def _session(self, team: str, kind: WorkProfile) -> str:
        if not self._chance(kind.session_share):
            return ""
        length = self._randomness.choice(SESSION_LENGTHS_WORKS)
        # With the offset, long sessions also begin in the middle of a run.
        generation = (self._count + length // 2) // length
        return f"{team}-{kind.target}-{length}-{generation}"

    def _chance(self, share: float) -> bool:
        return self._randomness.random() < share
