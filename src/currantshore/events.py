"""Inputs and actions of ``core.BalancerCore``.

An adapter for another packet source creates these inputs and executes these
actions; besides them it needs only ``core``, ``snapshot`` and ``wire``.
"""

from currantshore.internal.events import (
    Action,
    BackendDatagram,
    CallerDatagram,
    ConfigurationChanged,
    Event,
    FetchConfiguration,
    FlowsHandedOver,
    HandoverFinished,
    HandOverFlows,
    HandOverRequests,
    LeaveRequested,
    PeerDatagram,
    RequestsHandedOver,
    SendToBackend,
    SendToCaller,
    SendToPeer,
)

__all__ = (
    'Action',
    'BackendDatagram',
    'CallerDatagram',
    'ConfigurationChanged',
    'Event',
    'FetchConfiguration',
    'FlowsHandedOver',
    'HandOverFlows',
    'HandOverRequests',
    'HandoverFinished',
    'LeaveRequested',
    'PeerDatagram',
    'RequestsHandedOver',
    'SendToBackend',
    'SendToCaller',
    'SendToPeer',
)
