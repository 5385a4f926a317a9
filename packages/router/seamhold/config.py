"""The settings of one box: its addresses and its place, from a YAML file."""

from pathlib import Path
from typing import Annotated, Literal

from msgspec import Meta, field, to_builtins

from seamhold_messages.errors import SettingsInvalid
from seamhold_settings.checking import check
from seamhold_settings.schema import Control, KeyHash, Name, Placement, Policy, Strict
from seamhold_settings.tree import parse_yaml

Address = Annotated[str, Meta(pattern=r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}\Z')]
Url = Annotated[str, Meta(pattern=r'^https?://\S+\Z')]


class FleetDefaults(Strict, omit_defaults=True):
    """The fleet's level where the platform's operators do not write it."""

    policy: Policy = Policy()
    placement: Placement = Placement()
    control: Control = Control()


class BoxConfig(Strict, kw_only=True):
    """What a box is told at its start; the operators' tree says the rest.

    `dialect` names the platform whose protocols the box speaks, '' for the
    product's own; `fleet` stands for what that platform's settings leave out.

    Addresses are `ip:port`.  `threads` is how many calls the box answers at
    once.  `drain_grace` and `drain_limit` are in seconds.  `evacuations` tells that
    the platform's operators may evacuate failure domains: the box follows that list too.
    """

    box: Name
    failure_domain: str = ''
    listen: Address
    peer_listen: Address
    operator_listen: Address
    platform_url: Url
    seed_peers: list[Address] = field(default_factory=list)
    threads: Annotated[int, Meta(ge=4, le=2000)] = 64
    reuse_port: bool = False
    statsd: Address | None = None
    log_level: Literal['debug', 'info', 'warning', 'error'] = 'info'
    operator_key: KeyHash | None = None
    drain_grace: Annotated[float, Meta(ge=0, le=600)] = 5.0
    drain_limit: Annotated[float, Meta(gt=0, le=86_400)] = 600.0
    dialect: Annotated[str, Meta(pattern=r'^[a-z0-9-]*\Z')] = ''
    evacuations: bool = False
    fleet: FleetDefaults = FleetDefaults()

    def fleet_defaults(self) -> dict:
        """The fleet's level as plain values, without what is as it is by default."""
        return to_builtins(self.fleet)


class SplitAddress(Strict):
    """An address taken apart."""

    host: str
    port: int


def split_address(address: str) -> SplitAddress:
    """`ip:port` taken apart."""
    host, _, port = address.rpartition(':')
    return SplitAddress(host=host, port=int(port))


def load_box_config(path: str) -> BoxConfig:
    """Read a box file, or raise SettingsInvalid that says what to mend."""
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsInvalid(f'{path}: {error}') from error
    return check(BoxConfig, parse_yaml(text))
