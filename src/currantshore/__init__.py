"""Layer-4 load balancing for fleets of small, diskless entry hosts."""

__version__ = '0.1.0'
