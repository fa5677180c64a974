"""Chooses the cascade tier of a request; updates the policy from ratings."""

from dataclasses import dataclass

import xxhash
from turmericcrank_core.cascade import (
    CascadePolicy,
    CascadeSettings,
    choose_plan,
    record_cost,
    record_escalation,
    record_final_rating,
    record_rating,
)
from turmericcrank_core.requests import ModelRequest
from turmericcrank_core.rollouts import (
    RolloutProgress,
    apply_rollout,
    make_rollout_key,
)
from turmericcrank_core.tables import Pool, Route, RouteObjective

from turmericcrank_node.control.evidence_replication import count_rating
from turmericcrank_node.state.node_context import NodeContext

__all__ = (
    'RatableAnswer',
    'TierChoice',
    'choose_tier',
    'find_class_key',
    'find_progress',
    'rate_before_response',
    'rate_in_background',
    'record_answer_cost',
    'record_escalated_rating',
    'record_returned_rating',
)

_RATED_SHARE = 0.1
_RATED_SHARE_IN_ROLLOUT = 0.5
_MAX_CLASSES = 256


@dataclass(slots=True, frozen=True)
class TierChoice:
    """Tier that answers a request first.

    Attributes:
        pool: Pool that answers first.
        tier: Index of the tier in the cascade.
        threshold: Rating below which the request is escalated to the best
            tier; 0 for never.
        policy: Policy that is updated; None without a cascade.
        class_key: Class of the request in the policy.
        is_exploration: Whether the policy chose the tier to explore it.
    """

    pool: Pool
    tier: int = 0
    threshold: int = 0
    policy: CascadePolicy | None = None
    class_key: str = ''
    is_exploration: bool = False


@dataclass(slots=True, frozen=True)
class RatableAnswer:
    """An answer that may be rated.

    Attributes:
        chosen: Tier that gave it.
        upstream_id: Upstream that gave it.
        prompt: Text of the prompt.
        text: Text of the answer.
    """

    chosen: TierChoice
    upstream_id: str
    prompt: str
    text: str


def choose_tier(
    ctx: NodeContext,
    route: Route,
    allowed: list[Pool],
    request: ModelRequest,
    team: str,
) -> TierChoice:
    """Choose the pool of a request that is not bound to a version.

    Args:
        ctx: The node.
        route: Route of the request.
        allowed: Pools that accept new requests; stopped pools are excluded
            as long as another pool remains.
        request: The request.
        team: Team of the client.
    """
    usable = [
        pool for pool in allowed if pool.stop_key not in ctx.reasons_by_stop
    ]
    pool_by_name = {pool.name: pool for pool in usable or allowed}
    tiers = [name for name in route.pools if name in pool_by_name]
    if not tiers:
        return TierChoice(next(iter(pool_by_name.values())))
    if len(tiers) == 1 or route.quality_target is None:
        return TierChoice(
            _choose_rollout_pool(ctx, route, tiers[0], pool_by_name)
        )
    policy = _find_policy(ctx, route, len(tiers), request.stream)
    class_key = find_class_key(policy, request, team)
    choice = choose_plan(policy, class_key, ctx.random_source)
    pool = _choose_rollout_pool(ctx, route, tiers[choice.tier], pool_by_name)
    return TierChoice(
        pool,
        choice.tier,
        choice.threshold,
        policy,
        class_key,
        choice.is_exploration,
    )


def find_class_key(
    policy: CascadePolicy, request: ModelRequest, team: str
) -> str:
    """Return the class of a request, a proxy for its difficulty.

    The first system message identifies the application, the length of the
    prompt the kind of request. The number of classes is bounded; further
    requests share one class.
    """
    first = request.payload['messages'][0]
    system = ''
    if first.get('role') == 'system':
        system = xxhash.xxh32_hexdigest(str(first['content']).encode())
    size = len(request.prompt).bit_length()
    key = f'{team}/{system}/{size}'
    known = policy.classes_by_key
    if key not in known and len(known) >= _MAX_CLASSES:
        return 'other'
    return key


def record_answer_cost(chosen: TierChoice, cost_microcents: float) -> None:
    """Record the cost of an answer in the policy, in microcents."""
    if chosen.policy is not None:
        record_cost(
            chosen.policy, chosen.class_key, chosen.tier, cost_microcents
        )


async def rate_before_response(
    ctx: NodeContext, answer: RatableAnswer
) -> float | None:
    """Rate an answer before it is returned; None if the rating failed."""
    rated = await ctx.store.rate(answer.prompt, answer.text)
    if rated.is_error():
        return None
    chosen = answer.chosen
    count_rating(ctx, chosen.pool, answer.upstream_id, rated.ok)
    if chosen.policy is not None:
        record_rating(chosen.policy, chosen.class_key, chosen.tier, rated.ok)
    return rated.ok


def record_escalated_rating(
    answer: RatableAnswer, rejected_rating: float, rating: float | None
) -> None:
    """Record both ratings of an escalated request.

    Args:
        answer: Answer that was rejected.
        rejected_rating: Its rating.
        rating: Rating of the best tier's answer; None if unknown.
    """
    policy = answer.chosen.policy
    if policy is not None and rating is not None:
        record_escalation(
            policy, answer.chosen.class_key, rejected_rating, rating
        )


def record_returned_rating(
    chosen: TierChoice, rating: float | None, weight: float = 1
) -> None:
    """Record the rating of the answer that the client gets.

    An answer that was kept because of its rating must be rated again for
    this: the selection biases its first rating upwards.
    """
    if chosen.policy is not None and rating is not None:
        record_final_rating(chosen.policy, rating, weight)


def rate_in_background(
    ctx: NodeContext, answer: RatableAnswer, route: Route
) -> None:
    """Rate a sample of the answers after they have been returned.

    A sampled rating is weighted by the inverse of its sampling rate. An
    exploration outside the sample is rated too, with weight 0.
    """
    share = _RATED_SHARE
    if route.rollout is not None:
        share = _RATED_SHARE_IN_ROLLOUT
    if ctx.random_source.random() < share:
        ctx.start_soon(_rate_sample, answer, 1 / share)
    elif answer.chosen.is_exploration:
        ctx.start_soon(_rate_sample, answer, 0)


def find_progress(ctx: NodeContext, route: Route) -> RolloutProgress | None:
    """Return the progress of the rollout of a route."""
    if route.rollout is None:
        return None
    return ctx.progress_by_key.get(make_rollout_key(route.name, route.rollout))


async def _rate_sample(
    ctx: NodeContext, answer: RatableAnswer, weight: float
) -> None:
    record_returned_rating(
        answer.chosen, await rate_before_response(ctx, answer), weight
    )


def _choose_rollout_pool(
    ctx: NodeContext, route: Route, name: str, pool_by_name: dict[str, Pool]
) -> Pool:
    pool_name = apply_rollout(
        route, name, find_progress(ctx, route), ctx.random_source.random()
    )
    return pool_by_name.get(pool_name, pool_by_name[name])


def _find_policy(
    ctx: NodeContext, route: Route, n_tiers: int, stream: bool
) -> CascadePolicy:
    may_verify = route.weighs is RouteObjective.cost and not stream
    key = f'{route.name}/{n_tiers}/{may_verify}'
    policy = ctx.policies_by_route.get(key)
    target = route.quality_target or 0
    if policy is None or policy.settings.target != target:
        policy = CascadePolicy(
            CascadeSettings(
                target=target, n_tiers=n_tiers, may_verify=may_verify
            )
        )
        ctx.policies_by_route[key] = policy
    return policy
