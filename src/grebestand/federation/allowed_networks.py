"""The networks that other clusters may connect from, IPv4 and IPv6 in CIDR notation."""

from __future__ import annotations

from netaddr import AddrFormatError, IPAddress, IPNetwork, IPSet

from ..errors import GrebestandError

IPV6 = 6


class NetworkListError(GrebestandError, ValueError):
    """A network in the settings is invalid.

    Attributes:
        network: The text in the settings.
        reason: What is wrong with the text.
    """

    def __init__(self, network: str, reason: str) -> None:
        self.network = network
        self.reason = reason
        super().__init__(f"{network!r}: {reason}")


class AllowedNetworks:
    """A set of networks; `host in networks` is true if the address `host` lies in one of the networks."""

    def __init__(self, texts: list[str]) -> None:
        """Parse the networks and merge overlapping ones.

        Args:
            texts: Networks, each an address with a prefix length.

        Raises:
            NetworkListError: A network is invalid.
        """
        self._set = IPSet()
        for text in texts:
            self._set.add(_read_network(text))

    def __contains__(self, host: str) -> bool:
        """Return whether an address lies in one of the networks; IPv4 addresses mapped to IPv6 count as IPv4."""
        address_without_scope = host.partition("%")[0]
        try:
            address = IPAddress(address_without_scope)
        except (AddrFormatError, ValueError):
            return False  # not an IP address
        if address.version == IPV6 and address.is_ipv4_mapped():
            address = address.ipv4()
        return address in self._set

    def __str__(self) -> str:
        return ", ".join(str(network) for network in self._set.iter_cidrs())


def _read_network(text: str) -> IPNetwork:
    if "/" not in text:
        raise NetworkListError(text, "expected an address and a prefix length, such as 10.2.0.0/16")
    try:
        network = IPNetwork(text)
    except (AddrFormatError, ValueError) as error:
        raise NetworkListError(text, str(error)) from error
    if network.ip != network.network:
        raise NetworkListError(text, f"has bits beyond its prefix (meant {network.cidr}?)")
    return network
