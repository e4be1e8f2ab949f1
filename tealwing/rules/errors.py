"""What can be wrong with a bundle, or with it at one gateway; each with what an operator can do."""

from __future__ import annotations

from typing import ClassVar


class RulesError(ValueError):
    """where names the key or the place, what says what was found there, and what is allowed."""

    remedy: ClassVar[str] = "look at what it names, mend that, and propose the bundle anew"

    def __init__(self, where: str, what: str) -> None:
        super().__init__(f"{where}: {what}; {self.remedy}")
        self.place, self.finding = where, what


class BundleError(RulesError):
    """A bundle that no gateway can use."""


class TooLargeError(BundleError):
    """More of something than fits."""

    remedy = "take out what is not used any more, and join ranges of groups that have the same sites"


class TomlError(BundleError):
    """No TOML in UTF-8."""

    remedy = "mend the file at the place that is named; any checker of TOML 1.0 shows the same"


class UnknownKeyError(BundleError):
    """A key that no bundle has, or one that is missing."""

    remedy = "write the key as docs/operating/rules.md has it, or leave it out"


class InvalidValueError(BundleError):
    """A value of another kind, or out of its range."""

    remedy = "give a value within what is allowed, in the unit that the key's name ends with"


class InvalidLevelsError(BundleError):
    """Service levels that do not hold together."""

    remedy = "mend the line; `tealwing check` on a file with the same section tells all of them"


class InvalidRoutesError(BundleError):
    """Routes that overlap, or that are none."""

    remedy = "mend the route that is named, so that each group of tables stands in one route at most"


class IncompatibleError(RulesError):
    """A good bundle that does not fit a gateway; what it says is the reason of its no."""


class UnknownNameError(IncompatibleError):
    """A class, an account or a level's name that the platform's settings have not."""

    remedy = "name what the platform's settings have, or have the platform's settings changed first"


class PlatformLimitError(IncompatibleError):
    """More than the platform's settings allow."""

    remedy = "stay within the platform's settings, or have those changed first"


class UnknownSiteError(IncompatibleError):
    """A group of tables that no engine could serve."""

    remedy = "name a site that has engines in the engine list, spelled as there, or leave the route out"


class RestartRequiredError(IncompatibleError):
    """A change that a running gateway can't take here."""

    remedy = "take that section out of this gateway's operators' file and start it again, then propose anew"


class MemoryLimitError(IncompatibleError):
    """A routing table that would take too much of the gateway's memory."""

    remedy = "join ranges of groups that have the same sites, or give this gateway more memory"


class BuildTooOldError(IncompatibleError):
    """A version that this build can't put in force."""

    remedy = "install the newer build at this gateway and start it again, then propose anew"
