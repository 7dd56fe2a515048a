"""Stores the routes in force and the services of their former versions."""

from currantshore.internal.steering.catalog import Route, RoutingTable


class RoutesInForce:
    """The newest configuration of a host and the services of former ones.

    An open flow stays at its backend when its route changes to other services.
    For this, the services of former versions are kept by address.
    """

    __slots__ = ('_former', 'table')

    def __init__(self) -> None:
        """Initialize without routes."""
        self._former: dict[bytes, frozenset[str]] = {}
        self.table = RoutingTable(0, {}, 0)

    def configure(self, table: RoutingTable) -> bool:
        """Apply ``table`` if it is newer; return whether it was."""
        if table.version <= self.table.version:
            return False
        for address_key, route in self.table.routes.items():
            services = {share.service_id for share in route.shares}
            former = self._former.get(address_key, frozenset())
            self._former[address_key] = former | services
        self.table = table
        return True

    def find(self, address_key: bytes) -> Route | None:
        """Return the route of an address, or None."""
        return self.table.routes.get(address_key)

    def is_removed(self, address_key: bytes) -> bool:
        """Return whether an address had a route that has been removed."""
        if address_key in self.table.routes:
            return False
        return address_key in self._former

    def may_serve(self, address_key: bytes, service_id: str) -> bool:
        """Return whether a service may serve flows to an address."""
        route = self.table.routes.get(address_key)
        former = self._former.get(address_key)
        if route is None and former is None:
            # The route is newer than this host's configuration.
            return True
        if former is not None and service_id in former:
            return True
        return route is not None and any(
            share.service_id == service_id for share in route.shares
        )
