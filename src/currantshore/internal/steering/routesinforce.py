"""The routes in force, and which services a flow's route has ever had."""

from currantshore.internal.steering.catalog import Route, RoutingTable


class RoutesInForce:
    """The newest configuration that a host knows, and the ones before.

    A flow that is open stays where it is when its route gets other services,
    so that the services of former versions are remembered by address.
    """

    __slots__ = ('_former', 'table')

    def __init__(self) -> None:
        """Start without routes."""
        self._former: dict[bytes, frozenset[str]] = {}
        self.table = RoutingTable(0, {}, 0)

    def configure(self, table: RoutingTable) -> bool:
        """Put a newer configuration in force; tell whether it was newer."""
        if table.version <= self.table.version:
            return False
        for address_key, route in self.table.routes.items():
            served = {share.service_id for share in route.shares}
            known = self._former.get(address_key, frozenset())
            self._former[address_key] = known | served
        self.table = table
        return True

    def find(self, address_key: bytes) -> Route | None:
        """Return the route of an address."""
        return self.table.routes.get(address_key)

    def is_removed(self, address_key: bytes) -> bool:
        """Tell whether an address had a route that is in force no longer."""
        if address_key in self.table.routes:
            return False
        return address_key in self._former

    def may_serve(self, address_key: bytes, service_id: str) -> bool:
        """Tell whether flows to an address may be at a service."""
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
