"""Authentication of callers, and their authorization by rules."""

import hmac
from hashlib import sha256
from typing import Final

from result import Err, Ok, Result

from kestreltally.entities.configuration import ANY, Caller, Effect, Rule, WhenStale
from kestreltally.orders import RefusalReason
from kestreltally.requests.outcomes import Outcome, Refusal
from kestreltally.systems.configuration import get_unconfirmed_time
from kestreltally.world import World

BEARER: Final = "Bearer "
STALE_RETRY_AFTER: Final = 2.0


def digest_key(key: str) -> str:
    """Return the digest under which a caller's key is stored."""
    return sha256(key.encode()).hexdigest()


def authenticate_caller(world: World, authorization: str) -> Result[Caller, Refusal]:
    """Return the caller whose key is in the Authorization header."""
    if authorization.startswith(BEARER):
        digest = digest_key(authorization[len(BEARER) :].strip())
        caller = world.config.callers_of_digest.get(digest)
        valid_digests = caller.key_digests if caller is not None else ()
        if any(hmac.compare_digest(digest, each) for each in valid_digests):
            assert caller is not None
            return Ok(caller)
    return Err(
        Refusal(
            reason=RefusalReason.UNKNOWN_KEY,
            outcome=Outcome.NOT_RUN,
            message="the Authorization header must be 'Bearer KEY' with a known key",
        )
    )


def list_matching_rules(world: World, caller: str, adapter: str) -> list[Rule]:
    """Return the rules that apply to a caller and an adapter."""
    table = world.config.rules_of_adapter
    candidates = [*table.get(adapter, {}).values(), *table.get(ANY, {}).values()]
    return [rule for rule in candidates if rule.matches(caller, adapter)]


def check_rules(world: World, caller: str, adapter: str) -> Refusal | None:
    """Return why a caller may not use an adapter, or None if it may."""
    rules = list_matching_rules(world, caller, adapter)
    denied = [rule.name for rule in rules if rule.effect is Effect.DENY]
    if denied or not rules:
        why = f"rule {denied[0]} denies it" if denied else "no rule allows it"
        return Refusal(
            reason=RefusalReason.NOT_ALLOWED,
            outcome=Outcome.NOT_RUN,
            message=f"{caller} may not use {adapter}: {why}",
        )
    strict = any(rule.when_stale is WhenStale.REFUSE for rule in rules)
    if strict and get_unconfirmed_time(world) > world.settings.stale_after:
        return Refusal(
            reason=RefusalReason.STALE_CONFIGURATION,
            outcome=Outcome.NOT_RUN,
            message="the rules cannot be confirmed to be up to date",
            retry_after=STALE_RETRY_AFTER,
        )
    return None
