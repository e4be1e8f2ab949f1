"""Errors of a bundle, or of a bundle at one gateway; each with a remedy for operators."""

from __future__ import annotations

from typing import ClassVar


class RulesError(ValueError):
    """Base class: `place` is the key, `finding` says what was found there and what is allowed."""

    remedy: ClassVar[str] = "look at what it names, mend that, and propose the bundle anew"

    def __init__(self, where: str, what: str) -> None:
        super().__init__(f"{where}: {what}; {self.remedy}")
        self.place, self.finding = where, what


class BundleError(RulesError):
    """A bundle is invalid at every gateway."""


class TooLargeError(BundleError):
    """Something exceeds its maximum size."""

    remedy = "take out what is not used any more, and join ranges of groups that have the same sites"


class TomlError(BundleError):
    """The text is not TOML in UTF-8."""

    remedy = "mend the file at the place that is named; any checker of TOML 1.0 shows the same"


class UnknownKeyError(BundleError):
    """A key is unknown, or a required one is missing."""

    remedy = "write the key as docs/operating/rules.md has it, or leave it out"


class InvalidValueError(BundleError):
    """A value has the wrong type or is out of range."""

    remedy = "give a value within what is allowed, in the unit that the key's name ends with"


class InvalidLevelsError(BundleError):
    """The section of service levels is invalid."""

    remedy = "mend the line; `tealwing check` on a file with the same section tells all of them"


class InvalidRoutesError(BundleError):
    """Routes overlap or are invalid."""

    remedy = "mend the route that is named, so that each group of tables stands in one route at most"


class IncompatibleError(RulesError):
    """A valid bundle does not fit this gateway; the text is the reason in its verdict."""


class UnknownNameError(IncompatibleError):
    """The platform's settings have no class, tenant or level of that name."""

    remedy = "name what the platform's settings have, or have the platform's settings changed first"


class PlatformLimitError(IncompatibleError):
    """A value exceeds the platform's settings."""

    remedy = "stay within the platform's settings, or have those changed first"


class UnknownSiteError(IncompatibleError):
    """No engine could serve a table group."""

    remedy = "name a site that has engines in the engine list, spelled as there, or leave the route out"


class RestartRequiredError(IncompatibleError):
    """A running gateway can't apply the change."""

    remedy = "take that section out of this gateway's operators' file and start it again, then propose anew"


class MemoryLimitError(IncompatibleError):
    """The routing table would take too much memory."""

    remedy = "join ranges of groups that have the same sites, or give this gateway more memory"


class BuildTooOldError(IncompatibleError):
    """The version needs a newer build."""

    remedy = "install the newer build at this gateway and start it again, then propose anew"
