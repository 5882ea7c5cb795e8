"""Networks that other clusters may connect from, IPv4 and IPv6 in CIDR notation, by the library `netaddr`."""

from __future__ import annotations

from netaddr import AddrFormatError, IPAddress, IPNetwork, IPSet


class NetworkListError(ValueError):
    """Names the network that cannot be read."""


class AllowedNetworks:
    """The networks from which other clusters may connect."""

    def __init__(self, texts: list[str]) -> None:
        """Each text an address with a prefix; overlapping ones are merged."""
        self._set = IPSet()
        for text in texts:
            if "/" not in text:
                raise NetworkListError(f"{text!r}: an address and a prefix length are needed, such as 10.2.0.0/16")
            try:
                network = IPNetwork(text)
            except (AddrFormatError, ValueError) as e:
                raise NetworkListError(f"{text!r}: {e}") from e
            if network.ip != network.network:
                raise NetworkListError(f"{text!r}: has bits beyond its prefix (meant {network.cidr}?)")
            self._set.add(network)

    def __contains__(self, host: str) -> bool:
        """Whether an address lies in one of them; IPv4 addresses written as IPv6 count as what they are."""
        try:
            address = IPAddress(host.partition("%")[0])
        except (AddrFormatError, ValueError):
            return False
        if address.version == 6 and address.is_ipv4_mapped():
            address = address.ipv4()
        return address in self._set

    def __str__(self) -> str:
        return ", ".join(str(n) for n in self._set.iter_cidrs())
