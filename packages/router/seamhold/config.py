"""The settings of one box: its addresses and its place, from a YAML file."""

from pathlib import Path
from typing import Annotated

from pydantic import Field, StringConstraints

from seamhold_messages.errors import SettingsInvalid
from seamhold_settings.schema import Control, KeyHash, Name, Placement, Policy, Strict
from seamhold_settings.tree import check, parse_yaml

Address = Annotated[str, StringConstraints(pattern=r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$')]
Url = Annotated[str, StringConstraints(pattern=r'^https?://\S+$')]


class FleetDefaults(Strict):
    """The fleet's level where the platform's operators do not write it."""

    policy: Policy = Policy()
    placement: Placement = Placement()
    control: Control = Control()


class BoxConfig(Strict):
    """What a box is told at its start; the operators' tree says the rest.

    `dialect` names the platform whose protocols the box speaks, '' for the
    product's own; `fleet` stands for what that platform's settings leave out.

    Addresses are `ip:port`.  `threads` is how many calls the box answers at
    once.  `drain_grace` and `drain_limit` are in seconds.
    """

    box: Name
    failure_domain: str = ''
    listen: Address
    peer_listen: Address
    operator_listen: Address
    platform_url: Url
    seed_peers: list[Address] = Field(default_factory=list)
    threads: int = Field(64, ge=4, le=2000)
    reuse_port: bool = False
    statsd: Address | None = None
    log_level: str = Field('info', pattern='^(debug|info|warning|error)$')
    operator_key: KeyHash | None = None
    drain_grace: float = Field(5.0, ge=0, le=600)
    drain_limit: float = Field(600.0, gt=0, le=86_400)
    dialect: str = Field('', pattern='^[a-z0-9-]*$')
    fleet: FleetDefaults = FleetDefaults()

    def fleet_defaults(self) -> dict:
        """The fleet's level as plain values, without what was left out."""
        return self.fleet.model_dump(mode='json', exclude_unset=True)


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
