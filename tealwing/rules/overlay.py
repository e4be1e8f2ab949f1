"""Apply a bundle's overrides to the platform's settings; pure."""

from __future__ import annotations

from dataclasses import replace
from typing import NoReturn

from tealwing import interface
from tealwing.rules.bundle import Bundle
from tealwing.rules.errors import PlatformLimitError, UnknownNameError


def apply(bundle: Bundle, settings: interface.Settings) -> interface.Settings:
    """Return the settings with a bundle's overrides. Raises UnknownNameError or PlatformLimitError."""
    for name in bundle.classes:
        if all(cls.name != name for cls in settings.classes):
            _raise_unknown(f"classes.{name}", "class", [cls.name for cls in settings.classes])
    for name in bundle.tenants:
        if all(quota.name != name for quota in settings.tenant_quotas):
            _raise_unknown(f"tenants.{name}", "tenant", [quota.name for quota in settings.tenant_quotas])
    limits, max_attempts = settings.limits, bundle.attempts.max_attempts
    if max_attempts is not None and max_attempts > limits.max_attempts:
        raise PlatformLimitError("attempts.most", f"{max_attempts}; allowed: 1 to {limits.max_attempts}")
    return replace(
        settings,
        classes=tuple(_override_class(cls, bundle) for cls in settings.classes),
        tenant_quotas=tuple(_override_quota(quota, bundle) for quota in settings.tenant_quotas),
        limits=limits if max_attempts is None else replace(limits, max_attempts=max_attempts),
    )


def _override_class(cls: interface.RequestClass, bundle: Bundle) -> interface.RequestClass:
    override = bundle.classes.get(cls.name)
    if override is None:
        return cls
    return replace(
        cls,
        latency_objective=cls.latency_objective
        if override.latency_objective_ms is None
        else override.latency_objective_ms / 1e3,
        deadline=cls.deadline if override.deadline_ms is None else override.deadline_ms / 1e3,
        idempotency=cls.idempotency if override.effect is None else interface.Idempotency(override.effect),
        priority_weight=cls.priority_weight if override.priority_weight is None else override.priority_weight,
    )


def _override_quota(quota: interface.TenantQuota, bundle: Bundle) -> interface.TenantQuota:
    override = bundle.tenants.get(quota.name)
    return quota if override is None or override.share is None else replace(quota, share=override.share)


def _raise_unknown(where: str, what: str, known: list[str]) -> NoReturn:
    shown = ", ".join(known[:20]) + (f" and {len(known) - 20} more" if len(known) > 20 else "")
    raise UnknownNameError(where, f"no such {what}; allowed: {shown or 'none, as the platform lists none'}")
