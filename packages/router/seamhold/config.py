"""The configuration of one box, from a YAML file: its addresses and failure domain."""

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
    """Defaults for the fleet level, where the platform's operators do not set it."""

    policy: Policy = Policy()
    placement: Placement = Placement()
    control: Control = Control()


class BoxConfig(Strict, kw_only=True):
    """The configuration read at a box's start; all else is in the operators' settings tree.

    `dialect` names the platform whose protocols the box speaks, '' for the product's own;
    `fleet` gives the values that the platform's settings leave out.

    Addresses are `ip:port`.  `threads` is the number of calls served concurrently.
    `drain_grace` and `drain_limit` are in seconds.  `evacuations` states whether the
    platform's operators may evacuate failure domains: the box then follows that list too.
    `first_start` states that no box of this fleet has run before, so nothing can have been missed;
    it must be false at each later start.
    `response_buffer_share` is the part of the box's memory that may hold what slow callers have
    not read of their responses; 0 buffers nothing, and a slow caller holds its thread.
    `memory_bytes` is the box's memory, by default what the machine, the control group and the
    process's limits allow.
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
    first_start: bool = False
    response_buffer_share: Annotated[float, Meta(ge=0, le=0.5)] = 0.0
    memory_bytes: Annotated[int, Meta(ge=1024 * 1024)] | None = None
    fleet: FleetDefaults = FleetDefaults()

    def fleet_defaults(self) -> dict:
        """Return the fleet level as plain values, without those equal to the default."""
        return to_builtins(self.fleet)


class SplitAddress(Strict):
    """The host and port of an address."""

    host: str
    port: int


def split_address(address: str) -> SplitAddress:
    """Split `ip:port` into host and port."""
    host, _, port = address.rpartition(':')
    return SplitAddress(host=host, port=int(port))


def load_box_config(path: str) -> BoxConfig:
    """Read a box file; raises SettingsInvalid that states what to correct."""
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsInvalid(f'{path}: {error}') from error
    return check(BoxConfig, parse_yaml(text))
