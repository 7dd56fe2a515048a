"""Define the events between the components of an entry process."""

from circuits import Event


class CheckRequested(Event):  # type: ignore[misc]
    """Requests a connection attempt to a backend server."""

    name = 'check_requested'


class FlowsLost(Event):  # type: ignore[misc]
    """Requests resets of flows whose backend server is gone."""

    name = 'flows_lost'


class FlowRefused(Event):  # type: ignore[misc]
    """Reports a packet that was not forwarded, and the reason; not in use."""

    name = 'flow_refused'


class AnnouncementsReady(Event):  # type: ignore[misc]
    """Carries messages that announce changes to other hosts."""

    name = 'announcements_ready'
