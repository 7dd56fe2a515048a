"""Events between the components of an entry process."""

from circuits import Event


class CheckWanted(Event):  # type: ignore[misc]
    """A backend server is to be tried by a connection."""

    name = 'check_wanted'


class FlowsLost(Event):  # type: ignore[misc]
    """Callers of flows that have lost their server are to be told."""

    name = 'flows_lost'


class FlowRefused(Event):  # type: ignore[misc]
    """A packet of a flow was not forwarded, with the reason."""

    name = 'flow_refused'


class NewsReady(Event):  # type: ignore[misc]
    """Messages for other hosts."""

    name = 'news_ready'
