"""The settings that a gateway decides by: the platform's, and what a bundle says in their place; pure."""

from __future__ import annotations

from dataclasses import replace
from typing import NoReturn

from tealwing import interface
from tealwing.rules.bundle import Bundle
from tealwing.rules.errors import BeyondPlatform, UnknownName


def apply(bundle: Bundle, settings: interface.Settings) -> interface.Settings:
    """The platform's settings under a bundle. UnknownName or BeyondPlatform where the two do not fit."""
    for name in bundle.classes:
        if all(cls.name != name for cls in settings.classes):
            _unknown(f"classes.{name}", "class", [cls.name for cls in settings.classes])
    for name in bundle.tenants:
        if all(account.name != name for account in settings.tenant_quotas):
            _unknown(f"tenants.{name}", "account", [account.name for account in settings.tenant_quotas])
    limits, most = settings.limits, bundle.attempts.most
    if most is not None and most > limits.max_attempts:
        raise BeyondPlatform("attempts.most", f"{most}; allowed: 1 to {limits.max_attempts}")
    return replace(
        settings,
        classes=tuple(_class(cls, bundle) for cls in settings.classes),
        tenant_quotas=tuple(_account(account, bundle) for account in settings.tenant_quotas),
        limits=limits if most is None else replace(limits, max_attempts=most),
    )


def _class(cls: interface.RequestClass, bundle: Bundle) -> interface.RequestClass:
    said = bundle.classes.get(cls.name)
    if said is None:
        return cls
    return replace(
        cls,
        latency_objective=cls.latency_objective if said.aim_ms is None else said.aim_ms / 1e3,
        deadline=cls.deadline if said.deadline_ms is None else said.deadline_ms / 1e3,
        idempotency=cls.idempotency if said.effect is None else interface.Idempotency(said.effect),
        priority_weight=cls.priority_weight if said.worth is None else said.worth,
    )


def _account(account: interface.TenantQuota, bundle: Bundle) -> interface.TenantQuota:
    said = bundle.tenants.get(account.name)
    return account if said is None or said.share is None else replace(account, share=said.share)


def _unknown(where: str, what: str, known: list[str]) -> NoReturn:
    shown = ", ".join(known[:20]) + (f" and {len(known) - 20} more" if len(known) > 20 else "")
    raise UnknownName(where, f"no such {what}; allowed: {shown or 'none: the platform tells none'}")
