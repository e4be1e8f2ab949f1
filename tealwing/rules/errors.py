"""Errors of a bundle, or of a bundle at one gateway; each with a remedy for operators."""

from __future__ import annotations

from typing import ClassVar


class RulesError(ValueError):
    """Base class: `place` is the key, `finding` states what was found there and what is allowed."""

    remedy: ClassVar[str] = "correct the named key and propose the bundle again"

    def __init__(self, where: str, what: str) -> None:
        super().__init__(f"{where}: {what}; {self.remedy}")
        self.place, self.finding = where, what


class BundleError(RulesError):
    """A bundle is invalid at every gateway."""


class TooLargeError(BundleError):
    """Something exceeds its maximum size."""

    remedy = "remove what is no longer used, and join ranges of groups that have the same sites"


class TomlError(BundleError):
    """The text is not TOML in UTF-8."""

    remedy = "correct the file at the named place; any TOML 1.0 checker shows the same fault"


class UnknownKeyError(BundleError):
    """A key is unknown, or a required one is missing."""

    remedy = "spell the key as in docs/operating/rules.md, or leave it out"


class InvalidValueError(BundleError):
    """A value has the wrong type or is out of range."""

    remedy = "give an allowed value, in the unit that the key's name ends with"


class InvalidLevelsError(BundleError):
    """The section of service levels is invalid."""

    remedy = "correct the line; `tealwing check` on a file with the same section reports all faults"


class InvalidRoutesError(BundleError):
    """Routes overlap or are invalid."""

    remedy = "correct the named route, so that each table group is in one route at most"


class IncompatibleError(RulesError):
    """A valid bundle does not fit this gateway; the text is the reason in its verdict."""


class UnknownNameError(IncompatibleError):
    """The platform's settings have no class, tenant or level of that name."""

    remedy = "use a name from the platform's settings, or have those changed first"


class PlatformLimitError(IncompatibleError):
    """A value exceeds the platform's settings."""

    remedy = "stay within the platform's settings, or have those changed first"


class UnknownSiteError(IncompatibleError):
    """No engine could serve a table group."""

    remedy = "name a site that has engines in the engine list, spelled as there, or leave the route out"


class RestartRequiredError(IncompatibleError):
    """A running gateway can't apply the change."""

    remedy = "remove that section from this gateway's operators' file and restart the gateway, then propose again"


class MemoryLimitError(IncompatibleError):
    """The routing table would take too much memory."""

    remedy = "join ranges of groups that have the same sites, or give this gateway more memory"


class BuildTooOldError(IncompatibleError):
    """The version needs a newer build."""

    remedy = "install the newer build at this gateway and restart it, then propose again"
