"""The stages of the entry that communicate with other processes."""

from typing import NamedTuple

from bergamotdrift.exceptions import (
    Refusal,
)
from bergamotdrift.stages.claim import Claims
from bergamotdrift.stages.forward import ForwardStage
from bergamotdrift.stages.permit import Permits
from bergamotdrift.stages.rate import RateTokens


class Stages(NamedTuple):
    """Group the stages that communicate with other processes."""

    tokens: RateTokens
    claims: Claims
    permits: Permits
    forward: ForwardStage


class StageRefusal(NamedTuple):
    """Pair a refusal with the stage that raised it."""

    stage: str
    refusal: Refusal
