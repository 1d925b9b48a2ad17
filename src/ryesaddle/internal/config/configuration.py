"""The merged configuration and its queries."""

from dataclasses import dataclass, field
from fnmatch import fnmatchcase

from ryesaddle.internal.config.model import Limits, RuleFile, ServiceFile


@dataclass(frozen=True)
class Configuration:
    """All files of a configuration folder, merged in the order of their names.

    Attributes
    ----------
    generation : int
        Incremented with each accepted change.
    services : dict of str to ServiceFile
        Services by name, with the limits of limits files applied.
    rules : tuple of RuleFile
        Rules in the order of their files.
    drained : frozenset of str
        Targets that must not be given new requests.
    """

    generation: int = 0
    services: dict[str, ServiceFile] = field(default_factory=dict)
    rules: tuple[RuleFile, ...] = ()
    drained: frozenset = frozenset()

    def admits(self, service, target, data_centre):
        """Return whether ``target`` may be given new requests of ``service``."""
        if target in self.drained:
            return False
        return any(_matches(rule, service, target, data_centre) for rule in self.rules)

    def limits(self, service):
        """Return the `Limits` of ``service``, or the defaults if it is unknown."""
        found = self.services.get(service)
        return found.limits if found else Limits()


def _matches(rule, service, target, data_centre):
    if rule.service != service or not fnmatchcase(target, rule.targets):
        return False
    return not rule.data_centres or data_centre in rule.data_centres
